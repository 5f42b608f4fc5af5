#include "fescueridge/transport/http_client_pool.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include "client_connection.hpp"

namespace fescueridge
{
namespace detail
{
namespace
{

struct assignment
{
    std::shared_ptr<client_connection> connection;
    call_ptr call;
};

/// What is to be done once the pool's mutex is released.
struct work
{
    std::vector<assignment> starts;
    std::vector<std::shared_ptr<client_connection>> opens;
    std::vector<std::shared_ptr<client_connection>> closes;
};

} // namespace

class http_client_pool_impl : public connection_owner,
                              public std::enable_shared_from_this<http_client_pool_impl>
{
public:
    http_client_pool_impl(asio::io_context& io, const endpoint& target,
                          connection_count limit, const http_client_options& options)
        : io_(io), target_(to_asio(target)), host_(to_string(target)), options_(options),
          limit_(limit.get())
    {
    }

    http_call_handle send(const http_request& request, milliseconds timeout,
                          http_client_pool::callback done, answer_filter belongs);
    void abort(const call_ptr& call, http_failure_kind kind);
    void warm(std::size_t n);
    void set_limit(std::size_t limit);
    std::size_t connections() const;
    std::uint64_t opened() const;
    std::size_t waiting() const;
    void close();

    void became_idle(const std::shared_ptr<client_connection>& connection) override;
    void failed_to_open(const std::shared_ptr<client_connection>& connection,
                        const std::string& reason) override;
    void closed(const std::shared_ptr<client_connection>& connection) override;
    bool buffered(std::size_t before, std::size_t now) override;
    void give_back(const call_ptr& call) override;

private:
    void arm(const call_ptr& call, milliseconds timeout);
    work assign();
    void carry_out(const work& todo);
    std::shared_ptr<client_connection> add_connection();
    void forget(const std::shared_ptr<client_connection>& connection);
    void finish_later(const call_ptr& call, http_failure failure);

    asio::io_context& io_;
    asio::ip::tcp::endpoint target_;
    std::string host_;
    http_client_options options_;
    mutable std::mutex mutex_;
    std::size_t limit_;
    std::uint64_t opened_ = 0;
    std::size_t buffered_bytes_ = 0; ///< Of incomplete answers on all connections.
    bool closed_ = false;
    std::set<std::shared_ptr<client_connection>> all_;
    std::set<std::shared_ptr<client_connection>> opening_;
    std::vector<std::shared_ptr<client_connection>> idle_;
    std::deque<call_ptr> queue_;
};

http_call_handle http_client_pool_impl::send(const http_request& request,
                                             milliseconds timeout,
                                             http_client_pool::callback done,
                                             answer_filter belongs)
{
    const auto& host = request.authority.empty() ? host_ : request.authority;
    auto call = std::make_shared<client_call>(io_, write_request(request, host),
                                              request.method == "HEAD", std::move(done),
                                              std::move(belongs));
    call->pool_ = weak_from_this();
    if (call->bytes_.empty())
    {
        finish_later(call, {http_failure_kind::not_sent, false,
                            "method or target has a character that cannot be sent"});
        return http_call_handle(call);
    }
    arm(call, timeout);
    work todo;
    bool refused = false;
    {
        const std::lock_guard lock(mutex_);
        refused = closed_;
        if (!refused)
        {
            queue_.push_back(call);
            todo = assign();
        }
    }
    if (refused)
        finish_later(call, {http_failure_kind::cancelled, false, "pool closed"});
    carry_out(todo);
    return http_call_handle(call);
}

void http_client_pool_impl::arm(const call_ptr& call, milliseconds timeout)
{
    call->timer_.expires_after(timeout);
    call->timer_.async_wait(
        [weak = std::weak_ptr<client_call>(call)](asio::error_code ec)
        {
            const auto held = weak.lock();
            if (ec || !held)
                return;
            if (const auto pool = held->pool_.lock())
                pool->abort(held, http_failure_kind::timed_out);
        });
}

// Called with the mutex held. Gives waiting calls to idle connections and opens as many
// new ones as there are calls left, within the limit.
work http_client_pool_impl::assign()
{
    work todo;
    while (!queue_.empty() && !idle_.empty())
    {
        const auto call = queue_.front();
        queue_.pop_front();
        call->connection_ = idle_.back();
        todo.starts.push_back({idle_.back(), call});
        idle_.pop_back();
    }
    while (opening_.size() < queue_.size() && all_.size() < limit_)
        todo.opens.push_back(add_connection());
    return todo;
}

std::shared_ptr<client_connection> http_client_pool_impl::add_connection()
{
    auto connection =
        std::make_shared<client_connection>(io_, shared_from_this(), options_);
    ++opened_;
    all_.insert(connection);
    opening_.insert(connection);
    return connection;
}

void http_client_pool_impl::carry_out(const work& todo)
{
    for (const auto& connection : todo.closes)
        connection->close();
    for (const auto& connection : todo.opens)
        connection->open(target_);
    for (const auto& start : todo.starts)
        start.connection->start(start.call);
}

void http_client_pool_impl::finish_later(const call_ptr& call, http_failure failure)
{
    asio::post(io_, [call, failure = std::move(failure)] { call->finish(failure); });
}

void http_client_pool_impl::abort(const call_ptr& call, http_failure_kind kind)
{
    std::shared_ptr<client_connection> connection;
    work todo;
    {
        const std::lock_guard lock(mutex_);
        const auto place = std::find(queue_.begin(), queue_.end(), call);
        if (place != queue_.end())
            queue_.erase(place);
        else
            connection = call->connection_;
        if (connection && kind == http_failure_kind::timed_out &&
            options_.close_idle_after_timeout)
            todo.closes = std::exchange(idle_, {});
        call->abort_kind_ = kind;
        call->aborted_ = true;
    }
    carry_out(todo);
    if (connection)
        return connection->abort(call, kind);
    if (kind == http_failure_kind::timed_out)
        kind = http_failure_kind::no_connection;
    finish_later(call, {kind, false, std::string(to_string(kind))});
}

void http_client_pool_impl::became_idle(
    const std::shared_ptr<client_connection>& connection)
{
    work todo;
    {
        const std::lock_guard lock(mutex_);
        opening_.erase(connection);
        if (closed_ || all_.size() > limit_)
            todo.closes.push_back(connection);
        else
        {
            idle_.push_back(connection);
            todo = assign();
        }
    }
    carry_out(todo);
}

void http_client_pool_impl::forget(const std::shared_ptr<client_connection>& connection)
{
    all_.erase(connection);
    opening_.erase(connection);
    idle_.erase(std::remove(idle_.begin(), idle_.end(), connection), idle_.end());
}

// One failed connection fails the call it was opened for. When no connection is left that
// could serve the other waiting calls, they fail as well.
void http_client_pool_impl::failed_to_open(
    const std::shared_ptr<client_connection>& connection, const std::string& reason)
{
    std::vector<call_ptr> failed;
    {
        const std::lock_guard lock(mutex_);
        forget(connection);
        const auto count = all_.empty() ? queue_.size() : std::size_t{!queue_.empty()};
        failed.assign(queue_.begin(),
                      queue_.begin() + static_cast<std::ptrdiff_t>(count));
        queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
    }
    for (const auto& call : failed)
        call->finish(http_failure{http_failure_kind::connect_failed, false, reason});
}

void http_client_pool_impl::closed(const std::shared_ptr<client_connection>& connection)
{
    work todo;
    {
        const std::lock_guard lock(mutex_);
        forget(connection);
        if (!closed_)
            todo = assign();
    }
    carry_out(todo);
}

bool http_client_pool_impl::buffered(std::size_t before, std::size_t now)
{
    const std::lock_guard lock(mutex_);
    buffered_bytes_ += now - before;
    const auto most = options_.max_buffered_bytes;
    return most == 0 || buffered_bytes_ <= most ||
           now <= most / std::max<std::size_t>(1, limit_);
}

void http_client_pool_impl::give_back(const call_ptr& call)
{
    work todo;
    bool refused = false;
    {
        const std::lock_guard lock(mutex_);
        call->connection_.reset();
        refused = closed_ || call->aborted_;
        if (!refused)
        {
            queue_.push_front(call);
            todo = assign();
        }
    }
    const http_failure_kind kind = call->abort_kind_;
    if (refused)
        finish_later(call, {kind, false, std::string(to_string(kind))});
    carry_out(todo);
}

void http_client_pool_impl::warm(std::size_t n)
{
    work todo;
    {
        const std::lock_guard lock(mutex_);
        while (!closed_ && all_.size() < std::min(n, limit_))
            todo.opens.push_back(add_connection());
    }
    carry_out(todo);
}

void http_client_pool_impl::set_limit(std::size_t limit)
{
    work todo;
    {
        const std::lock_guard lock(mutex_);
        limit_ = limit;
        std::size_t over = all_.size() > limit ? all_.size() - limit : 0;
        while (over > 0 && !idle_.empty())
        {
            todo.closes.push_back(idle_.back());
            idle_.pop_back();
            --over;
        }
        if (todo.closes.empty() && !closed_)
            todo = assign();
    }
    carry_out(todo);
}

std::size_t http_client_pool_impl::connections() const
{
    const std::lock_guard lock(mutex_);
    return all_.size();
}

std::uint64_t http_client_pool_impl::opened() const
{
    const std::lock_guard lock(mutex_);
    return opened_;
}

std::size_t http_client_pool_impl::waiting() const
{
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

void http_client_pool_impl::close()
{
    work todo;
    std::deque<call_ptr> waiting;
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        waiting.swap(queue_);
        todo.closes.assign(all_.begin(), all_.end());
        all_.clear();
        opening_.clear();
        idle_.clear();
    }
    for (const auto& call : waiting)
        finish_later(call, {http_failure_kind::cancelled, false, "pool closed"});
    carry_out(todo);
}

} // namespace detail

void http_call_handle::cancel()
{
    const auto call = call_.lock();
    const auto pool = call ? call->pool_.lock() : nullptr;
    if (pool)
        pool->abort(call, http_failure_kind::cancelled);
}

http_client_pool::http_client_pool(asio::io_context& io, const endpoint& target,
                                   connection_count limit, http_client_options options)
    : impl_(std::make_shared<detail::http_client_pool_impl>(io, target, limit, options))
{
}

http_client_pool::~http_client_pool()
{
    impl_->close();
}

http_call_handle http_client_pool::send(const http_request& request, milliseconds timeout,
                                        callback done, answer_filter belongs)
{
    return impl_->send(request, timeout, std::move(done), std::move(belongs));
}

void http_client_pool::warm(std::size_t n)
{
    impl_->warm(n);
}

void http_client_pool::set_limit(connection_count limit)
{
    impl_->set_limit(limit.get());
}

std::size_t http_client_pool::connections() const
{
    return impl_->connections();
}

std::uint64_t http_client_pool::opened() const
{
    return impl_->opened();
}

std::size_t http_client_pool::waiting() const
{
    return impl_->waiting();
}

void http_client_pool::close()
{
    impl_->close();
}

} // namespace fescueridge
