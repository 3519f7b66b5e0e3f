#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "load/exchange.hpp"

namespace tarragonquay::load
{

/// How one request ended.
struct outcome
{
    bool complete = false;
    bool order = false;
    /// Typed code of a refusal, or the kind of failure.
    std::string code;
    /// The refusal states that the request did not run.
    bool not_run = false;
    double first_token_ms = 0;
    double total_ms = 0;
    std::vector<double> gaps_ms;
    int tokens = 0;
};

/// Checks a completion: every event once and in order, usage, end marker.
outcome judge_completion(
    const incoming& answer, bool stream, time_point scheduled);
/// Checks an order: the answer names it and it ran once.
outcome judge_order(
    const incoming& answer, const std::string& order, time_point scheduled);

/// Collects outcomes by workspace.
class report
{
public:
    report();
    ~report();
    report(const report&) = delete;
    report& operator=(const report&) = delete;

    void add(const std::string& workspace, const outcome& one);
    /// Arrivals over the limit of requests in flight, which were not sent.
    void add_not_sent(const std::string& workspace);
    /// The figures; attained requests are also counted per accelerator.
    nlohmann::json to_json(double seconds, int accelerators) const;

    /// The JSON report as a table for people.
    static std::string to_text(const nlohmann::json& report);

private:
    struct figures;
    figures& of(const std::string& workspace);

    std::map<std::string, std::unique_ptr<figures>> by_workspace_;
};

} // namespace tarragonquay::load
