#pragma once

#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "catalog/snapshot.hpp"
#include "placement/controller.hpp"

namespace tarragonquay::daemon
{

/// Sends placement commands to the engines. Not thread-safe: used on the
/// control thread only.
class engine_commands
{
public:
    explicit engine_commands(boost::asio::io_context& control)
        : control_(control)
    {
    }

    void update(const catalog::snapshot& configuration);

    void send(const placement::intent& command,
        store::handler<placement::command_answer> on_done);

private:
    boost::asio::io_context& control_;
    std::map<endpoint_id, std::string> addresses_;
};

static_assert(placement::command_transport<engine_commands>);

} // namespace tarragonquay::daemon
