#include "limits/share_transfers.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "limits/types.hpp"

namespace tarragonquay::limits
{

namespace
{

constexpr duration transfer_retry = std::chrono::milliseconds(500);
// Transfers to one member that are not acknowledged yet. It bounds what a
// receiver has to remember; a few are open at a time.
constexpr std::uint64_t transfer_window = 64;

// The number at the end of a transfer id; 0 when there is none.
std::uint64_t sequence_of(const std::string& transfer_id)
{
    const auto slash = transfer_id.rfind('/');
    if (slash == std::string::npos)
        return 0;
    std::uint64_t value = 0;
    const auto* end = transfer_id.data() + transfer_id.size();
    const auto parsed =
        std::from_chars(transfer_id.data() + slash + 1, end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? value : 0;
}

} // namespace

share_transfers::share_transfers(std::string incarnation)
    : incarnation_(std::move(incarnation))
{
}

void share_transfers::begin_epoch(std::int64_t epoch)
{
    epoch_ = epoch;
    outgoing_.clear();
    last_sequence_.clear();
    received_.clear();
}

bool share_transfers::may_send(const share_receiver& to) const
{
    const auto open = std::count_if(outgoing_.begin(), outgoing_.end(),
        [&](const auto& entry) { return entry.second.to == to; });
    return static_cast<std::uint64_t>(open) < transfer_window;
}

void share_transfers::send(const share_receiver& to,
    const workspace_id& workspace, std::int64_t shares,
    std::int64_t level_millitokens, time_point now)
{
    outgoing_transfer out;
    out.to = to;
    out.next_send = now;
    // Each receiver gets sequence numbers without gaps.
    out.message.set_transfer_id(fmt::format("{}/{}/{}/{}", incarnation_, epoch_,
        to.incarnation, ++last_sequence_[to]));
    out.message.set_to_incarnation(to.incarnation);
    out.message.set_workspace(workspace.str());
    out.message.set_epoch(epoch_);
    out.message.set_shares(shares);
    out.message.set_level_millitokens(level_millitokens);
    outgoing_.emplace(out.message.transfer_id(), std::move(out));
}

void share_transfers::acknowledge(const std::string& transfer_id)
{
    outgoing_.erase(transfer_id);
}

std::vector<outgoing_message> share_transfers::due(time_point now)
{
    std::vector<outgoing_message> messages;
    for (auto& [id, transfer] : outgoing_)
    {
        if (now < transfer.next_send)
            continue;
        transfer.next_send = now + transfer_retry;
        peer::Envelope envelope;
        *envelope.mutable_share_transfer() = transfer.message;
        messages.push_back({transfer.to.instance, std::move(envelope)});
    }
    return messages;
}

void share_transfers::received_transfers::insert(std::uint64_t sequence)
{
    beyond.insert(sequence);
    while (beyond.erase(complete + 1) > 0)
        ++complete;
}

share_transfers::verdict share_transfers::receive(
    const peer::Share_transfer& transfer,
    const std::function<bool(const std::string&)>& is_known)
{
    const auto& id = transfer.transfer_id();
    const auto sequence = sequence_of(id);
    const bool plausible =
        sequence > 0 && transfer.to_incarnation() == incarnation_ &&
        transfer.shares() > 0 && transfer.shares() <= total_shares &&
        transfer.level_millitokens() >= 0;
    const auto sender = id.substr(0, id.rfind('/'));
    const auto suffix = fmt::format("/{}/{}", epoch_, incarnation_);
    const bool from_member =
        sender.ends_with(suffix) &&
        is_known(sender.substr(0, sender.size() - suffix.size()));
    if (transfer.epoch() != epoch_ || !plausible || !from_member)
        return verdict::refused;
    auto& received = received_[sender];
    if (received.seen(sequence))
        return verdict::repeated;
    // Sent again once the earlier ones have arrived.
    if (sequence > received.complete + transfer_window)
        return verdict::refused;
    received.insert(sequence);
    return verdict::accepted;
}

} // namespace tarragonquay::limits
