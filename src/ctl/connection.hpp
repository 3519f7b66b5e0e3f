#pragma once

#include <memory>
#include <string>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "ctl/options.hpp"
#include "operator.pb.h"

namespace tarragonquay::ctl
{

/// Blocking client of the operator service. A call without an answer is
/// retried over a new connection until the deadline; a change keeps its
/// operation id. The failure `peer_unreachable` means that no
/// answer came, so that a change may or may not be committed.
class connection
{
public:
    static result<std::unique_ptr<connection>> create(
        const global_options& options);

    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    result<operators::Apply_reply> apply(
        const operators::Apply_request& request);
    result<operators::Describe_reply> describe();
    result<operators::Status_reply> status();
    result<operators::Timeline_reply> timeline(
        const operators::Timeline_request& request);
    result<operators::Drain_reply> drain();
    result<operators::Show_order_reply> show_order(
        const operators::Show_order_request& request);
    /// Not retried: a second attempt would conflict with the version that the
    /// first one wrote.
    result<operators::Resolve_order_reply> resolve_order(
        const operators::Resolve_order_request& request);

private:
    class implementation;
    explicit connection(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::ctl
