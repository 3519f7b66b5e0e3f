#include <utility>

#include "daemon/engine_commands.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "endpoints/command_client.hpp"
#include "records.pb.h"

namespace tarragonquay::daemon
{

namespace
{

constexpr std::chrono::seconds answer_timeout{2};

// A reply of the engine, also a refusal, is a value; a missing reply is an
// error.
result<placement::command_answer> translate(
    const result<endpoints::command_answer>& answer)
{
    using placement::command_answer;
    if (answer)
        return *answer == endpoints::command_answer::already_known
                   ? command_answer::already_known
                   : command_answer::accepted;
    switch (answer.error().code())
    {
    case error_code::stale_fencing:
        return command_answer::stale_fencing;
    case error_code::no_memory:
        return command_answer::no_memory;
    default:
        return tl::unexpected<error>(answer.error());
    }
}

boost::asio::awaitable<void> exchange(std::string address,
    records::Command_intent message,
    store::handler<placement::command_answer> on_done)
{
    const auto answer = co_await endpoints::send_command(std::move(address),
        std::move(message), std::chrono::steady_clock::now() + answer_timeout);
    on_done(translate(answer));
}

} // namespace

void engine_commands::update(const catalog::snapshot& configuration)
{
    addresses_.clear();
    for (const auto& [id, endpoint] : configuration.endpoints())
        addresses_[id] = endpoint.address;
}

void engine_commands::send(const placement::intent& command,
    store::handler<placement::command_answer> on_done)
{
    const auto address = addresses_.find(command.endpoint);
    if (address == addresses_.end())
        return on_done(fail(
            error_code::not_found, "the endpoint is not in the configuration"));
    records::Command_intent message;
    message.ParseFromString(placement::to_row(command));
    boost::asio::co_spawn(control_,
        exchange(address->second, std::move(message), std::move(on_done)),
        boost::asio::detached);
}

} // namespace tarragonquay::daemon
