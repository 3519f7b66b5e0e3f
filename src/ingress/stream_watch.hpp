#pragma once

#include <utility>

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>

#include "catalog/snapshot.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::ingress
{

/// Periodically checks whether a running request may continue, until the watch
/// is destroyed.
class stream_watch
{
public:
    /// Time between checks. A withdrawn key must take effect within seconds,
    /// and a caller that has disconnected should not hold an engine for long.
    static constexpr std::chrono::milliseconds interval{250};

    /// `check` returns the reason why the request must end, or nothing.
    /// `on_failure` receives that reason; it is called at most once, and not
    /// after destruction.
    stream_watch(boost::asio::any_io_executor executor,
        std::function<std::optional<error>()> check,
        std::function<void(error)> on_failure);
    ~stream_watch();
    stream_watch(const stream_watch&) = delete;
    stream_watch& operator=(const stream_watch&) = delete;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Decides whether a running stream is still authorized by its key.
class stream_authorization
{
public:
    /// Streams survive a lapse of the view lease shorter than this, such as
    /// after a pause of the process. During a longer lapse, the withdrawal of a
    /// key could go unnoticed.
    static constexpr std::chrono::seconds lease_grace{2};

    stream_authorization(
        const catalog::published_state& state, std::string secret_sha256);

    /// Returns the reason why the stream must end (stopping, withdrawn_key or
    /// no_view_lease), or nothing.
    std::optional<error> check(time_point now);

private:
    const catalog::published_state& state_;
    const std::string secret_sha256_;
    std::optional<time_point> lapsed_since_;
};

} // namespace tarragonquay::ingress
