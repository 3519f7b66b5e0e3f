#include "ctl/commands.hpp"

#include <array>
#include <ostream>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include "common/digest.hpp"
#include "ctl/output.hpp"

namespace tarragonquay::ctl
{

namespace
{

constexpr std::size_t secret_bytes = 32;

result<void> issue_key(command_context& context, const std::string& id,
    const std::string& workspace)
{
    const auto secret = make_secret();
    if (!secret)
        return tl::unexpected(secret.error());
    config::Change change;
    change.mutable_put_key()->set_id(id);
    change.mutable_put_key()->set_workspace(workspace);
    change.mutable_put_key()->set_secret_sha256(sha256_hex(*secret));
    auto sent = send_change(context, std::move(change),
        context.options.expected_revision,
        [&](const operators::Apply_reply& reply)
        {
            if (context.options.format == output_format::json)
                context.out
                    << nlohmann::json({{"key", id}, {"secret", *secret},
                                          {"revision", reply.revision()}})
                           .dump()
                    << '\n';
            else
                context.out << fmt::format(
                    "revision {}\nsecret {}\n", reply.revision(), *secret);
            context.out.flush();
        });
    if (!sent && (sent.error().code() == error_code::peer_unreachable ||
                     sent.error().code() == error_code::store_outcome_unknown))
        return fail(sent.error().code(),
            sent.error().message() +
                "; the key may exist without a known secret: withdraw it and "
                "issue another",
            sent.error().execution());
    return sent;
}

} // namespace

result<std::string> make_secret()
{
    std::array<unsigned char, secret_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return fail(
            error_code::internal, "OpenSSL's random source is not ready");
    std::string secret = "tq_";
    for (const auto byte : bytes)
        secret += fmt::format("{:02x}", byte);
    return secret;
}

void add_key_commands(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand("key", "Keys of callers");
    group->require_subcommand(1);
    auto id = std::make_shared<std::string>();
    auto workspace = std::make_shared<std::string>();
    auto* issue = group->add_subcommand("issue",
        "Issue a key; prints its secret once. Only the digest is stored.");
    issue->add_option("id", *id, "Id of the key; can't be reused")->required();
    issue->add_option("--workspace", *workspace, "Workspace")->required();
    issue->final_callback(
        [&chosen, id, workspace]
        {
            chosen = [id, workspace](command_context& context)
            { return issue_key(context, *id, *workspace); };
        });
    add_removal(*group, "withdraw", "Withdraw a key permanently", chosen,
        [](config::Change& change) { return change.mutable_withdraw_key(); });
    group->add_subcommand("list", "List the keys")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context)
                {
                    return print_list(
                        context,
                        [](const auto& whole, auto& part)
                        { *part.mutable_keys() = whole.keys(); },
                        [](const auto& whole)
                        { return keys_table(whole).to_string(); });
                };
            });
}

} // namespace tarragonquay::ctl
