#include "peering/transport.hpp"

#include <map>
#include <optional>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <zmq.hpp>

#include "common/log.hpp"
#include "peer.pb.h"

namespace tarragonquay::peering
{

namespace
{

namespace asio = boost::asio;

constexpr std::int64_t max_message_bytes = std::int64_t(8) << 20;
// Messages per socket; a full queue drops new messages instead of growing.
constexpr int high_water_mark = 256;
constexpr int heartbeat_interval_ms = 500;
constexpr int heartbeat_timeout_ms = 2000;
constexpr int max_reconnect_interval_ms = 1000;
// Limits how long one wake-up occupies the control thread.
constexpr int max_messages_per_wake_up = 64;
// Limits how many addresses are learned from unknown senders.
constexpr std::size_t max_learned_peers = 1024;

std::string endpoint_of(const std::string& address)
{
    return "tcp://" + address;
}

void set_common_options(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, high_water_mark);
    socket.set(zmq::sockopt::rcvhwm, high_water_mark);
    socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
}

struct known_peer
{
    std::string address;
    // Learned from a message; a later message may replace it. An address set
    // by set_peer is not replaced.
    bool learned = false;
};

} // namespace

struct transport::impl : std::enable_shared_from_this<transport::impl>
{
    impl(asio::io_context& context, instance_id local_id,
        std::string incarnation_id, message_handler handler)
        : descriptor(context),
          local(std::move(local_id)),
          incarnation(std::move(incarnation_id)),
          on_message(std::move(handler))
    {
    }

    void bind(const std::string& listen_address, std::string advertised)
    {
        set_common_options(router);
        router.bind(endpoint_of(listen_address));
        const auto bound = router.get(zmq::sockopt::last_endpoint);
        listen = bound.substr(endpoint_of("").size());
        advertised_address =
            advertised.empty() ? listen : std::move(advertised);
        descriptor.assign(router.get(zmq::sockopt::fd));
    }

    void close()
    {
        closed = true;
        // ZeroMQ owns the descriptor and closes it.
        if (descriptor.is_open())
            descriptor.release();
        dealers.clear();
        router.close();
    }

    void wait()
    {
        descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
            [self = shared_from_this()](const boost::system::error_code& failed)
            {
                if (!failed && !self->closed)
                    self->drain();
            });
    }

    // ZMQ_FD is edge-triggered, so messages are read until ZMQ_EVENTS reports
    // none left before waiting for the descriptor again.
    void drain()
    {
        for (int i = 0; i < max_messages_per_wake_up; ++i)
        {
            if ((router.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0)
            {
                wait();
                return;
            }
            receive_one();
            if (closed)
                return;
        }
        asio::post(descriptor.get_executor(),
            [self = shared_from_this()]
            {
                if (!self->closed)
                    self->drain();
            });
    }

    void receive_one()
    {
        zmq::message_t identity;
        if (!router.recv(identity, zmq::recv_flags::dontwait))
            return;
        zmq::message_t payload;
        std::size_t parts = 0;
        bool more = identity.more();
        while (more)
        {
            zmq::message_t part;
            if (!router.recv(part, zmq::recv_flags::dontwait))
                return;
            more = part.more();
            payload = std::move(part);
            ++parts;
        }
        peer::Envelope envelope;
        if (parts != 1 || payload.size() > max_message_bytes ||
            !envelope.ParseFromArray(
                payload.data(), static_cast<int>(payload.size())) ||
            !accepts(envelope))
        {
            ++counters.malformed;
            TQ_LOG(logger, warning)
                << "Dropped a malformed message of " << payload.size()
                << " bytes in " << parts << " parts.";
            return;
        }
        ++counters.received;
        learn_address(envelope);
        on_message(envelope);
    }

    bool accepts(const peer::Envelope& envelope) const
    {
        return !envelope.from_instance().empty() &&
               envelope.body_case() != peer::Envelope::BODY_NOT_SET &&
               (envelope.to_instance().empty() ||
                   envelope.to_instance() == local.str());
    }

    void learn_address(const peer::Envelope& envelope)
    {
        const instance_id from(envelope.from_instance());
        if (envelope.from_address().empty() || from == local)
            return;
        const auto found = peers.find(from);
        if (found == peers.end() && peers.size() >= max_learned_peers)
            return;
        if (found != peers.end() &&
            (!found->second.learned ||
                found->second.address == envelope.from_address()))
            return;
        erase_peer(from);
        peers[from] = {envelope.from_address(), true};
    }

    void erase_peer(const instance_id& peer)
    {
        const auto found = peers.find(peer);
        if (found == peers.end())
            return;
        const auto address = found->second.address;
        peers.erase(found);
        for (const auto& [other, known] : peers)
        {
            if (known.address == address)
                return;
        }
        dealers.erase(address);
    }

    zmq::socket_t& dealer(const std::string& address)
    {
        const auto found = dealers.find(address);
        if (found != dealers.end())
            return found->second;
        zmq::socket_t socket(context, zmq::socket_type::dealer);
        set_common_options(socket);
        socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
        socket.connect(endpoint_of(address));
        return dealers.emplace(address, std::move(socket)).first->second;
    }

    result<void> send(const std::string& address, peer::Envelope& message)
    {
        message.set_from_instance(local.str());
        message.set_from_incarnation(incarnation);
        message.set_from_address(advertised_address);
        const auto bytes = message.SerializeAsString();
        if (bytes.size() > max_message_bytes)
            return fail(error_code::payload_too_large,
                fmt::format("a message of {} bytes is larger than {} bytes",
                    bytes.size(), max_message_bytes));
        try
        {
            // A dealer only sends, and each send processes its pending
            // events, so there is no need to wait for its descriptor.
            if (!dealer(address).send(
                    zmq::buffer(bytes), zmq::send_flags::dontwait))
            {
                ++counters.dropped;
                return fail(error_code::peer_unreachable,
                    fmt::format("the queue to {} is full", address));
            }
        }
        catch (const zmq::error_t& failed)
        {
            ++counters.dropped;
            return fail(error_code::peer_unreachable,
                fmt::format("cannot send to {}: {}", address, failed.what()));
        }
        ++counters.sent;
        return {};
    }

    // Declared before the sockets, so that it outlives them.
    zmq::context_t context{1};
    zmq::socket_t router{context, zmq::socket_type::router};
    asio::posix::stream_descriptor descriptor;
    instance_id local;
    std::string incarnation;
    std::string listen;
    std::string advertised_address;
    message_handler on_message;
    std::map<instance_id, known_peer> peers;
    std::map<std::string, zmq::socket_t> dealers;
    transport_counters counters;
    bool closed = false;
    log::logger logger = log::make_logger("peering");
};

transport::transport(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

transport::~transport()
{
    impl_->close();
}

result<std::unique_ptr<transport>> transport::create(asio::io_context& context,
    const std::string& listen_address, instance_id local,
    std::string incarnation, message_handler on_message,
    std::string advertised_address)
{
    try
    {
        auto state = std::make_shared<impl>(context, std::move(local),
            std::move(incarnation), std::move(on_message));
        state->bind(listen_address, std::move(advertised_address));
        // Messages that arrived since the bind may not trigger a new edge.
        asio::post(context,
            [state]
            {
                if (!state->closed)
                    state->drain();
            });
        return std::unique_ptr<transport>(new transport(std::move(state)));
    }
    catch (const zmq::error_t& failed)
    {
        return fail(
            error_code::invalid_settings, fmt::format("cannot listen on {}: {}",
                                              listen_address, failed.what()));
    }
}

result<void> transport::set_peer(
    const instance_id& peer, const std::string& address)
{
    if (address.empty())
        return fail(error_code::invalid_argument,
            fmt::format("instance {} has no peer address", peer.str()));
    const auto found = impl_->peers.find(peer);
    if (found != impl_->peers.end() && found->second.address == address)
    {
        found->second.learned = false;
        return {};
    }
    impl_->erase_peer(peer);
    impl_->peers[peer] = {address, false};
    return {};
}

void transport::remove_peer(const instance_id& peer)
{
    impl_->erase_peer(peer);
}

result<void> transport::send(const instance_id& peer, peer::Envelope message)
{
    const auto found = impl_->peers.find(peer);
    if (found == impl_->peers.end())
        return fail(error_code::peer_unreachable,
            fmt::format("the address of {} is not known", peer.str()));
    message.set_to_instance(peer.str());
    return impl_->send(found->second.address, message);
}

result<void> transport::send_to_address(
    const std::string& address, peer::Envelope message)
{
    message.clear_to_instance();
    return impl_->send(address, message);
}

result<void> transport::reopen(const instance_id& peer)
{
    const auto found = impl_->peers.find(peer);
    if (found == impl_->peers.end())
        return fail(error_code::peer_unreachable,
            fmt::format("the address of {} is not known", peer.str()));
    impl_->dealers.erase(found->second.address);
    ++impl_->counters.reopened;
    try
    {
        impl_->dealer(found->second.address);
    }
    catch (const zmq::error_t& failed)
    {
        return fail(error_code::peer_unreachable,
            fmt::format("cannot connect to {}: {}", peer.str(), failed.what()));
    }
    return {};
}

const transport_counters& transport::counters() const
{
    return impl_->counters;
}

const std::string& transport::listen_address() const
{
    return impl_->listen;
}

} // namespace tarragonquay::peering
