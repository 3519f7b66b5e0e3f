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

/// Checks a running request several times a second until it is destroyed.
class stream_watch
{
public:
    /// Keys are withdrawn within seconds, and callers that have gone should
    /// not hold an engine for long.
    static constexpr std::chrono::milliseconds interval{250};

    /// `check` returns why the request must end; `on_failure` is called at
    /// most once, and not after destruction.
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

/// Whether a running stream of a key may go on.
class stream_authorization
{
public:
    /// A lease that lapses for less, as after a pause of the process, does
    /// not end streams; a longer lapse could hide a withdrawal.
    static constexpr std::chrono::seconds lease_grace{2};

    stream_authorization(
        const catalog::published_state& state, std::string secret_sha256);

    std::optional<error> check(time_point now);

private:
    const catalog::published_state& state_;
    const std::string secret_sha256_;
    std::optional<time_point> lapsed_since_;
};

} // namespace tarragonquay::ingress
