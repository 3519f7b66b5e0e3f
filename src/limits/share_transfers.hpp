#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "peer.pb.h"

namespace tarragonquay::limits
{

struct outgoing_message
{
    instance_id to;
    peer::Envelope message;
};

/// One incarnation of an instance.
struct share_receiver
{
    instance_id instance;
    std::string incarnation;

    auto operator<=>(const share_receiver&) const = default;
};

/// Share transfers of one epoch. Outgoing transfers are resent until they are
/// acknowledged; incoming ones are deduplicated. A transfer id is
/// `incarnation/epoch/receiver incarnation/sequence`.
class share_transfers
{
public:
    explicit share_transfers(std::string incarnation);

    /// Drops all transfers of the previous epoch.
    void begin_epoch(std::int64_t epoch);

    /// Whether the unacknowledged transfers to this receiver leave room for
    /// another one.
    bool may_send(const share_receiver& to) const;
    /// Number of incarnations that were sent a transfer in this epoch.
    std::size_t receivers() const { return last_sequence_.size(); }
    bool has_sent(const share_receiver& to) const
    {
        return last_sequence_.contains(to);
    }
    void send(const share_receiver& to, const workspace_id& workspace,
        std::int64_t shares, std::int64_t level_millitokens, time_point now);
    void acknowledge(const std::string& transfer_id);
    bool all_acknowledged() const { return outgoing_.empty(); }
    /// Transfers to send or resend now.
    std::vector<outgoing_message> due(time_point now);

    enum class receive_status
    {
        /// Must not be acknowledged.
        rejected,
        /// Was accepted before; must be acknowledged again.
        duplicate,
        /// New; must be applied and acknowledged.
        accepted
    };
    /// Validates and records an incoming transfer. `is_known` tells whether an
    /// incarnation may send transfers. Transfers of others are rejected, since
    /// each recorded id takes memory and their number would be unbounded.
    receive_status receive(const peer::Share_transfer& transfer,
        const std::function<bool(const std::string&)>& is_known);

private:
    struct outgoing_transfer
    {
        share_receiver to;
        peer::Share_transfer message;
        time_point next_send;
    };
    // Sequence numbers received from one sender: all up to `last_contiguous`,
    // and some of the next `transfer_window` ones.
    struct received_transfers
    {
        std::uint64_t last_contiguous = 0;
        std::set<std::uint64_t> out_of_order;

        bool seen(std::uint64_t sequence) const
        {
            return sequence <= last_contiguous ||
                   out_of_order.contains(sequence);
        }
        void insert(std::uint64_t sequence);
    };

    std::string incarnation_;
    std::int64_t epoch_ = 0;
    std::map<std::string, outgoing_transfer> outgoing_;
    // Sequence number of the last transfer to each receiver.
    std::map<share_receiver, std::uint64_t> last_sequence_;
    // Keyed by the transfer id without the sequence number.
    std::map<std::string, received_transfers> received_;
};

} // namespace tarragonquay::limits
