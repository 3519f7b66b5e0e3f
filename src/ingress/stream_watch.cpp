#include "ingress/stream_watch.hpp"

#include <boost/asio/steady_timer.hpp>

#include "ingress/authorization.hpp"

namespace tarragonquay::ingress
{

struct stream_watch::implementation
    : std::enable_shared_from_this<stream_watch::implementation>
{
    implementation(boost::asio::any_io_executor executor,
        std::function<std::optional<error>()> checker,
        std::function<void(error)> handler)
        : timer(executor),
          check(std::move(checker)),
          on_failure(std::move(handler))
    {
    }

    void wait()
    {
        timer.expires_after(interval);
        timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& ec)
            {
                if (ec || self->stopped)
                    return;
                if (auto cause = self->check())
                    self->on_failure(std::move(*cause));
                else
                    self->wait();
            });
    }

    boost::asio::steady_timer timer;
    std::function<std::optional<error>()> check;
    std::function<void(error)> on_failure;
    bool stopped = false;
};

stream_watch::stream_watch(boost::asio::any_io_executor executor,
    std::function<std::optional<error>()> check,
    std::function<void(error)> on_failure)
    : implementation_(std::make_shared<implementation>(
          std::move(executor), std::move(check), std::move(on_failure)))
{
    implementation_->wait();
}

stream_watch::~stream_watch()
{
    implementation_->stopped = true;
    implementation_->timer.cancel();
}

stream_authorization::stream_authorization(
    const catalog::published_state& state, std::string secret_sha256)
    : state_(state), secret_sha256_(std::move(secret_sha256))
{
}

std::optional<error> stream_authorization::check(time_point now)
{
    if (state_.stop_deadline_passed())
        return error(error_code::stopping,
            "the instance stops before the request can complete",
            execution_state::unknown);
    const auto view = state_.current();
    const auto identity = find_caller(*view, secret_sha256_);
    if (!identity)
        return error(error_code::withdrawn_key,
            "the key was withdrawn while the request was running",
            execution_state::unknown);
    if (has_view_lease(state_))
    {
        lapsed_since_.reset();
        return std::nullopt;
    }
    if (!lapsed_since_)
        lapsed_since_ = now;
    if (now - *lapsed_since_ < lease_grace)
        return std::nullopt;
    return error(error_code::no_view_lease,
        "this instance can't tell whether the key is still valid",
        execution_state::unknown);
}

} // namespace tarragonquay::ingress
