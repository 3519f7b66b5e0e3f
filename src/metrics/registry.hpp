#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tarragonquay::metrics
{

/// Label names and values, for example {{"workspace", "acme"}}.
using labels = std::map<std::string, std::string>;

/// Counters, gauges and distributions of this process. Thread-safe.
/// Distributions report count, sum, maximum and the
/// extended P² estimates (Boost.Accumulators) of the 50th, 95th and 99th
/// percentile.
class registry
{
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Increases a counter.
    void add(
        const std::string& name, const labels& label_set, double amount = 1);
    /// Sets a gauge.
    void set(const std::string& name, const labels& label_set, double value);
    /// Adds a sample to a distribution. `value` is in the unit that the name
    /// ends with, for example _seconds.
    void observe(
        const std::string& name, const labels& label_set, double value);

    /// Text exposition format of Prometheus, version 0.0.4.
    std::string prometheus_text() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::metrics
