#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::peer
{
class Envelope;
} // namespace tarragonquay::peer

namespace tarragonquay::peering
{

/// Numbers of messages since the start.
struct transport_counters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    /// Messages that could not be parsed or name another receiver.
    std::uint64_t malformed = 0;
    /// Messages dropped because the queue to the peer was full.
    std::uint64_t dropped = 0;
    std::uint64_t reopened = 0;
};

/// Messages between daemons over ZeroMQ. All calls and the handler run on
/// the thread of the io_context. Delivery is best effort: a message may be
/// lost or arrive late, and a send never blocks.
class transport
{
public:
    using message_handler = std::function<void(const peer::Envelope&)>;

    /// Binds the listen address ("10.0.0.1:7000"). Peers reply to
    /// `advertised_address`; empty means the address that was bound.
    static result<std::unique_ptr<transport>> create(
        boost::asio::io_context& context, const std::string& listen_address,
        instance_id local, std::string incarnation, message_handler on_message,
        std::string advertised_address = {});

    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Sets the address of a peer; a changed address opens a new socket.
    result<void> set_peer(const instance_id& peer, const std::string& address);
    void remove_peer(const instance_id& peer);

    /// Sends to a known peer; the transport fills in sender and receiver.
    /// A peer that sent a message is known by the address in the message.
    result<void> send(const instance_id& peer, peer::Envelope message);
    /// Sends to an address whose instance is not known yet.
    result<void> send_to_address(
        const std::string& address, peer::Envelope message);

    /// Closes the socket to a peer and opens a new one. Queued messages are
    /// dropped; a connection can freeze while new connections work.
    result<void> reopen(const instance_id& peer);

    const transport_counters& counters() const;
    /// The bound address; differs from the given one when its port was 0.
    const std::string& listen_address() const;

private:
    struct impl;
    explicit transport(std::shared_ptr<impl> state);

    // Shared with pending handlers of the io_context.
    std::shared_ptr<impl> impl_;
};

} // namespace tarragonquay::peering
