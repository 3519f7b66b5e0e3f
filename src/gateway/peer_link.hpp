#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/context.hpp"
#include "gateway/documents.hpp"
#include "peering/transport.hpp"

namespace tarragonquay::peer
{
class Envelope;
class Gateway_heartbeat;
} // namespace tarragonquay::peer

namespace tarragonquay::gateway
{

/// What one engine holds, for the other gateways.
struct engine_residency
{
    endpoint_id endpoint;
    std::int64_t started_unix_ms = 0;
    std::int64_t accepted_commands = 0;
    std::vector<endpoints::held_model> models;

    auto operator<=>(const engine_residency&) const = default;
};

/// Messages between gateways: heartbeats with loads and demands, documents for
/// gateways that lack them, and what engines hold.
class peer_link
{
public:
    static constexpr std::chrono::milliseconds heartbeat_interval{250};
    /// Others that get each heartbeat. It is constant, so that the cost of an
    /// instance does not grow with their number.
    static constexpr std::size_t fan_out = 8;

    /// Demand for models at another gateway.
    using demand_handler = std::function<void(
        const instance_id&, std::vector<std::pair<demanded_model, double>>)>;

    peer_link(context& on, documents& known) : on_(on), documents_(known) {}

    result<void> start(std::int64_t incarnation);
    void stop() { transport_.reset(); }

    void on_model_demand(demand_handler handler)
    {
        on_model_demand_ = std::move(handler);
    }
    void on_adapter_request(std::function<void(const demanded_model&)> handler)
    {
        on_adapter_request_ = std::move(handler);
    }

    /// Sends heartbeats; `placement_fencing` is 0 unless this gateway holds
    /// the placement lease.
    void tick(time_point now, std::int64_t placement_fencing);
    /// Tells the others at once that this gateway stops or has become ready.
    void announce();
    void send_residency(const std::vector<engine_residency>& engines);
    /// Whether a holder of the placement lease was heard of lately.
    bool holder_alive(time_point now) const
    {
        return now - holder_heard_at_ < fleet::roster::lifetime;
    }
    /// Asks the holder of the placement lease for an adapter.
    void request_adapter(const demanded_model& wanted);
    /// While the store is away, the directory is taken from other gateways.
    void set_directory_away(bool away) { directory_away_ = away; }

private:
    void receive(const peer::Envelope& message);
    void receive_heartbeat(
        const instance_id& from, const peer::Gateway_heartbeat& beat);
    void receive_request(
        const instance_id& from, const peer::Envelope& message);
    void receive_documents(const peer::Envelope& message);
    void receive_residency(const peer::Envelope& message);
    void ask_for_documents(
        const instance_id& from, const peer::Gateway_heartbeat& beat);
    peer::Gateway_heartbeat make_heartbeat(time_point now);
    void send(const fleet::member& to, peer::Envelope message);
    void send_to_seeds(const peer::Envelope& message);

    context& on_;
    documents& documents_;
    std::unique_ptr<peering::transport> transport_;
    demand_handler on_model_demand_;
    std::function<void(const demanded_model&)> on_adapter_request_;
    std::int64_t placement_fencing_ = 0;
    /// Latest holder of the placement lease that was heard of.
    instance_id holder_;
    std::int64_t holder_fencing_ = 0;
    time_point holder_heard_at_{};
    bool directory_away_ = false;
    time_point next_documents_request_{};
    /// Adapters that were asked for lately.
    std::map<demanded_model, time_point> requested_adapters_;
};

} // namespace tarragonquay::gateway
