#include "tcp_proxy.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace fault_proxy
{

using asio::ip::tcp;

namespace
{

constexpr std::size_t read_size = 16'384;

// Bytes that wait for their delay; beyond this the sender is held back.
constexpr std::size_t max_waiting = 1'048'576;

struct chunk
{
    steady::time_point due;
    std::vector<char> bytes; ///< Empty: the sender has closed its side.
};

/// One direction of a connection.
struct pump
{
    pump(tcp::socket& source, tcp::socket& sink, direction where)
        : from(source), to(sink), way(where), timer(source.get_executor())
    {
    }

    tcp::socket& from;
    tcp::socket& to;
    direction way;
    asio::steady_timer timer;
    std::vector<char> buffer = std::vector<char>(read_size);
    std::deque<chunk> waiting;
    std::size_t waiting_bytes = 0;
    steady::time_point last_due;
    bool reading = false;
    bool writing = false;
    bool ended = false;
};

} // namespace

/// A client's connection and the one to the target that belongs to it.
class tcp_connection : public std::enable_shared_from_this<tcp_connection>
{
public:
    tcp_connection(tcp::socket client, std::string source, faults& active)
        : faults_(active), source_(std::move(source)), client_(std::move(client)),
          server_(client_.get_executor()),
          to_target_(client_, server_, direction::to_target),
          to_client_(server_, client_, direction::to_client)
    {
    }

    void start(const tcp::endpoint& target)
    {
        server_.async_connect(target,
                              [self = shared_from_this()](const std::error_code& problem)
                              {
                                  if (problem)
                                  {
                                      self->reset();
                                      return;
                                  }
                                  self->connected();
                              });
    }

    const std::string& source() const noexcept { return source_; }

    /// Ends both connections with RST.
    void reset()
    {
        for (tcp::socket* socket : {&client_, &server_})
        {
            std::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        to_target_.timer.cancel();
        to_client_.timer.cancel();
    }

private:
    void connected()
    {
        std::error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        server_.set_option(tcp::no_delay(true), ignored);
        read(to_target_);
        read(to_client_);
    }

    void read(pump& side)
    {
        if (side.reading || side.ended || side.waiting_bytes >= max_waiting)
        {
            return;
        }
        side.reading = true;
        std::size_t size = read_size;
        if (faults_.bytes_per_second > 0)
        {
            // Small pieces, so that the limit holds over short times as well.
            size = std::clamp<std::size_t>(faults_.bytes_per_second / 50, 1, read_size);
        }
        side.from.async_read_some(asio::buffer(side.buffer.data(), size),
                                  [self = shared_from_this(), &side](
                                      const std::error_code& problem, std::size_t count)
                                  {
                                      side.reading = false;
                                      self->take(side, problem, count);
                                  });
    }

    void take(pump& side, const std::error_code& problem, std::size_t count)
    {
        if (problem && problem != asio::error::eof)
        {
            end_after_error(side, problem);
            return;
        }
        side.ended = static_cast<bool>(problem);
        if (!faults_.vanishes(side.way, source_))
        {
            enqueue(side, count);
        }
        read(side);
    }

    // A reset of one side reaches the other one unless its bytes vanish.
    void end_after_error(pump& side, const std::error_code& problem)
    {
        side.ended = true;
        if (problem != asio::error::operation_aborted &&
            !faults_.vanishes(side.way, source_))
        {
            reset();
        }
    }

    void enqueue(pump& side, std::size_t count)
    {
        const auto start = side.buffer.begin();
        chunk item{steady::now() + faults_.delay,
                   {start, start + static_cast<std::ptrdiff_t>(count)}};
        if (faults_.bytes_per_second > 0)
        {
            const std::chrono::microseconds cost(count * 1'000'000 /
                                                 faults_.bytes_per_second);
            item.due = std::max(item.due, side.last_due + cost);
        }
        item.due = std::max(item.due, side.last_due);
        side.last_due = item.due;
        side.waiting_bytes += count;
        side.waiting.push_back(std::move(item));
        write(side);
    }

    void write(pump& side)
    {
        if (side.writing || side.waiting.empty())
        {
            return;
        }
        side.writing = true;
        if (side.waiting.front().due <= steady::now())
        {
            deliver(side);
            return;
        }
        side.timer.expires_at(side.waiting.front().due);
        side.timer.async_wait(
            [self = shared_from_this(), &side](const std::error_code& problem)
            {
                if (!problem)
                {
                    self->deliver(side);
                }
            });
    }

    void deliver(pump& side)
    {
        chunk& item = side.waiting.front();
        if (faults_.vanishes(side.way, source_))
        {
            delivered(side);
            return;
        }
        if (item.bytes.empty())
        {
            std::error_code ignored;
            side.to.shutdown(tcp::socket::shutdown_send, ignored);
            delivered(side);
            return;
        }
        std::size_t size = item.bytes.size();
        const std::uint64_t limit = faults_.reset_after_bytes;
        const bool last = limit > 0 && passed_ + size >= limit;
        if (last)
        {
            size = limit > passed_ ? static_cast<std::size_t>(limit - passed_) : 0;
        }
        passed_ += size;
        asio::async_write(side.to, asio::buffer(item.bytes.data(), size),
                          [self = shared_from_this(), &side,
                           last](const std::error_code& problem, std::size_t)
                          {
                              if (problem || last)
                              {
                                  self->reset();
                                  return;
                              }
                              self->delivered(side);
                          });
    }

    void delivered(pump& side)
    {
        side.waiting_bytes -= side.waiting.front().bytes.size();
        side.waiting.pop_front();
        side.writing = false;
        read(side);
        write(side);
    }

    faults& faults_;
    std::string source_; ///< Address of the client.
    tcp::socket client_;
    tcp::socket server_;
    pump to_target_;
    pump to_client_;
    std::uint64_t passed_ = 0;
};

tcp_proxy::tcp_proxy(asio::io_context& context, const tcp::endpoint& listen,
                     const tcp::endpoint& target, faults& active)
    : context_(context), listen_(listen), target_(target), faults_(active),
      acceptor_(context)
{
    open();
    listen_ = acceptor_.local_endpoint();
}

void tcp_proxy::open()
{
    acceptor_.open(listen_.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(listen_);
    acceptor_.listen();
    accept_next();
}

void tcp_proxy::accept_next()
{
    acceptor_.async_accept(
        [this](const std::error_code& problem, tcp::socket client)
        {
            if (problem == asio::error::operation_aborted)
            {
                return;
            }
            if (!problem)
            {
                take(std::move(client));
            }
            accept_next();
        });
}

void tcp_proxy::take(tcp::socket client)
{
    std::error_code gone;
    const tcp::endpoint remote = client.remote_endpoint(gone);
    if (gone)
    {
        return;
    }
    const auto made = std::make_shared<tcp_connection>(
        std::move(client), remote.address().to_string(), faults_);
    if (faults_.cuts(made->source()))
    {
        made->reset();
        return;
    }
    connections_.insert(made);
    made->start(target_);
}

void tcp_proxy::faults_changed()
{
    const bool refuses =
        faults_.mode == fault_mode::refuse || faults_.mode == fault_mode::cut;
    if (refuses && acceptor_.is_open())
    {
        acceptor_.close();
    }
    else if (!refuses && !acceptor_.is_open())
    {
        open();
    }
    for (auto item = connections_.begin(); item != connections_.end();)
    {
        const auto connection = item->lock();
        if (connection &&
            (faults_.mode == fault_mode::cut || faults_.cuts(connection->source())))
        {
            connection->reset();
        }
        item = connection ? std::next(item) : connections_.erase(item);
    }
}

} // namespace fault_proxy
