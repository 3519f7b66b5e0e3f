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

/// Transfers of one epoch: those that are sent until they are acknowledged,
/// and those that were received, each of which counts once. An id is
/// `incarnation/epoch/receiver incarnation/sequence`.
class share_transfers
{
public:
    explicit share_transfers(std::string incarnation);

    /// Forgets all transfers of the epoch before.
    void begin_epoch(std::int64_t epoch);

    /// Whether the receiver has acknowledged enough to get a further one.
    bool may_send(const share_receiver& to) const;
    /// Instances that got a transfer in this epoch.
    std::size_t receivers() const { return last_sequence_.size(); }
    bool has_sent(const share_receiver& to) const
    {
        return last_sequence_.contains(to);
    }
    void send(const share_receiver& to, const workspace_id& workspace,
        std::int64_t shares, std::int64_t level_millitokens, time_point now);
    void acknowledge(const std::string& transfer_id);
    bool all_acknowledged() const { return outgoing_.empty(); }
    /// Transfers to send now, for the first time or again.
    std::vector<outgoing_message> due(time_point now);

    enum class verdict
    {
        /// Not to be acknowledged.
        refused,
        /// To be acknowledged, but was counted before.
        repeated,
        accepted
    };
    /// `is_known` tells whether an incarnation may send transfers; others
    /// could make up ids without end, each of which is remembered.
    verdict receive(const peer::Share_transfer& transfer,
        const std::function<bool(const std::string&)>& is_known);

private:
    struct outgoing_transfer
    {
        share_receiver to;
        peer::Share_transfer message;
        time_point next_send;
    };
    // Transfers of one sender that were received: all up to a sequence number
    // and some of the next `transfer_window` ones.
    struct received_transfers
    {
        std::uint64_t complete = 0;
        std::set<std::uint64_t> beyond;

        bool seen(std::uint64_t sequence) const
        {
            return sequence <= complete || beyond.contains(sequence);
        }
        void insert(std::uint64_t sequence);
    };

    std::string incarnation_;
    std::int64_t epoch_ = 0;
    std::map<std::string, outgoing_transfer> outgoing_;
    // Sequence number of the last transfer to each receiver.
    std::map<share_receiver, std::uint64_t> last_sequence_;
    // By the part of their ids before the sequence number.
    std::map<std::string, received_transfers> received_;
};

} // namespace tarragonquay::limits
