#include "limits/share_transfers.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "limits/types.hpp"

namespace tarragonquay::limits
{

namespace
{

constexpr duration retry_interval = std::chrono::milliseconds(500);
// Maximum number of unacknowledged transfers to one receiver. It bounds the
// sequence numbers that a receiver stores; usually only a few are
// unacknowledged.
constexpr std::uint64_t transfer_window = 64;

// The sequence number at the end of a transfer id; 0 when there is none.
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
    const auto unacknowledged =
        std::count_if(outgoing_.begin(), outgoing_.end(),
            [&](const auto& entry) { return entry.second.to == to; });
    return static_cast<std::uint64_t>(unacknowledged) < transfer_window;
}

void share_transfers::send(const share_receiver& to,
    const workspace_id& workspace, std::int64_t shares,
    std::int64_t level_millitokens, time_point now)
{
    outgoing_transfer transfer;
    transfer.to = to;
    transfer.next_send = now;
    // Sequence numbers are consecutive for each receiver.
    transfer.message.set_transfer_id(fmt::format("{}/{}/{}/{}", incarnation_,
        epoch_, to.incarnation, ++last_sequence_[to]));
    transfer.message.set_to_incarnation(to.incarnation);
    transfer.message.set_workspace(workspace.str());
    transfer.message.set_epoch(epoch_);
    transfer.message.set_shares(shares);
    transfer.message.set_level_millitokens(level_millitokens);
    outgoing_.emplace(transfer.message.transfer_id(), std::move(transfer));
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
        transfer.next_send = now + retry_interval;
        peer::Envelope envelope;
        *envelope.mutable_share_transfer() = transfer.message;
        messages.push_back({transfer.to.instance, std::move(envelope)});
    }
    return messages;
}

void share_transfers::received_transfers::insert(std::uint64_t sequence)
{
    out_of_order.insert(sequence);
    while (out_of_order.erase(last_contiguous + 1) > 0)
        ++last_contiguous;
}

share_transfers::receive_status share_transfers::receive(
    const peer::Share_transfer& transfer,
    const std::function<bool(const std::string&)>& is_known)
{
    const auto& id = transfer.transfer_id();
    const auto sequence = sequence_of(id);
    const bool is_valid =
        sequence > 0 && transfer.to_incarnation() == incarnation_ &&
        transfer.shares() > 0 && transfer.shares() <= total_shares &&
        transfer.level_millitokens() >= 0;
    const auto sender = id.substr(0, id.rfind('/'));
    const auto suffix = fmt::format("/{}/{}", epoch_, incarnation_);
    const bool from_known_sender =
        sender.ends_with(suffix) &&
        is_known(sender.substr(0, sender.size() - suffix.size()));
    if (transfer.epoch() != epoch_ || !is_valid || !from_known_sender)
        return receive_status::rejected;
    auto& received = received_[sender];
    if (received.seen(sequence))
        return receive_status::duplicate;
    // The sender resends it, and by then the earlier ones may have arrived.
    if (sequence > received.last_contiguous + transfer_window)
        return receive_status::rejected;
    received.insert(sequence);
    return receive_status::accepted;
}

} // namespace tarragonquay::limits
