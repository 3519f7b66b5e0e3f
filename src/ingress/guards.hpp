#pragma once

#include <optional>
#include <utility>

#include "ingress/control_port.hpp"

namespace tarragonquay::ingress
{

/// Settles a reservation on destruction, with the used tokens that were set
/// last (initially 0).
class reservation_guard
{
public:
    reservation_guard(
        const control_port& control, limits::reservation reservation)
        : control_(control), reservation_(std::move(reservation))
    {
    }
    ~reservation_guard() { control_.settle(reservation_, used_tokens_); }
    reservation_guard(const reservation_guard&) = delete;
    reservation_guard& operator=(const reservation_guard&) = delete;

    void set_used_tokens(std::int64_t tokens) { used_tokens_ = tokens; }

private:
    const control_port& control_;
    const limits::reservation reservation_;
    std::int64_t used_tokens_ = 0;
};

/// Releases an assignment on destruction, as cancelled unless another outcome
/// was set.
class assignment_guard
{
public:
    assignment_guard(const control_port& control, routing::assignment held)
        : control_(control), held_(std::move(held))
    {
    }
    ~assignment_guard()
    {
        control_.release(held_.id, outcome_, output_tokens_);
    }
    assignment_guard(const assignment_guard&) = delete;
    assignment_guard& operator=(const assignment_guard&) = delete;

    const routing::assignment& held() const { return held_; }
    void set_outcome(routing::outcome outcome) { outcome_ = outcome; }
    void set_output_tokens(std::int64_t tokens) { output_tokens_ = tokens; }

private:
    const control_port& control_;
    const routing::assignment held_;
    routing::outcome outcome_ = routing::outcome::cancelled;
    std::int64_t output_tokens_ = 0;
};

} // namespace tarragonquay::ingress
