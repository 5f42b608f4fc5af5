#include "fescueridge/membership/gossip_udp.hpp"

#include <array>
#include <atomic>
#include <mutex>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <fmt/format.h>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

namespace
{

using asio::ip::udp;

constexpr milliseconds tick_period{50};

// One byte more than the maximum, so that oversized datagrams can be detected.
constexpr std::size_t receive_buffer_bytes = max_gossip_datagram_bytes + 1;

udp::endpoint to_asio(const endpoint& address)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    if (error)
    {
        throw address_error(fmt::format("\"{}\" is not an IP address", address.address));
    }
    return {ip, address.port};
}

endpoint from_asio(const udp::endpoint& address)
{
    return {address.address().to_string(), address.port()};
}

udp::socket open_socket(const asio::any_io_executor& executor, const endpoint& address)
{
    try
    {
        return udp::socket(executor, to_asio(address));
    }
    catch (const std::system_error& error)
    {
        throw address_error(fmt::format("cannot open gossip UDP socket on {}: {}",
                                        to_string(address), error.what()));
    }
}

member_record with_gossip_port(member_record record, std::uint16_t port)
{
    record.gossip.port = port;
    return record;
}

} // namespace

/// Implementation, kept alive by the handlers that are pending on the io_context.
class gossip_udp::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, member_record self, std::vector<endpoint> contacts,
         gossip_callbacks callbacks, gossip_options options,
         const std::optional<endpoint>& listen)
        : strand_(asio::make_strand(context)),
          socket_(open_socket(strand_, listen.value_or(self.gossip))), timer_(strand_),
          callbacks_(std::move(callbacks)),
          core_(listen
                    ? std::move(self)
                    : with_gossip_port(std::move(self), socket_.local_endpoint().port()),
                std::move(contacts), random_engine(random_seed()), clock::now(), options)
    {
        local_endpoint_ = from_asio(socket_.local_endpoint());
        socket_.non_blocking(true);
    }

    void start()
    {
        asio::post(strand_,
                   [self = shared_from_this()]
                   {
                       self->receive_next();
                       self->run_tick_timer();
                   });
    }

    void stop()
    {
        stopped_ = true;
        asio::post(strand_,
                   [self = shared_from_this()]
                   {
                       std::error_code ignored;
                       self->socket_.close(ignored);
                       self->timer_.cancel();
                   });
    }

    endpoint local_endpoint() const { return local_endpoint_; }

    template <class Function>
    auto with_core(Function function) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return function(core_);
    }

    void update_self(const std::function<void(member_record&)>& edit)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            core_.update_self(edit);
        }
        asio::post(strand_, [self = shared_from_this()] { self->tick_core(); });
    }

    void add_contacts(const std::vector<endpoint>& contacts)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        core_.add_contacts(contacts);
    }

    gossip_counters counters() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return counters_;
    }

private:
    void run_tick_timer()
    {
        if (stopped_)
        {
            return;
        }
        tick_core();
        timer_.expires_after(tick_period);
        timer_.async_wait(
            [self = shared_from_this()](const std::error_code& error)
            {
                if (!error)
                {
                    self->run_tick_timer();
                }
            });
    }

    void tick_core()
    {
        if (!stopped_)
        {
            run_core([](gossip_core& core) { return core.tick(clock::now()); });
        }
    }

    void receive_next()
    {
        if (stopped_)
        {
            return;
        }
        socket_.async_receive_from(
            asio::buffer(buffer_), sender_,
            [self = shared_from_this()](const std::error_code& error, std::size_t size)
            {
                if (error == asio::error::operation_aborted)
                {
                    return;
                }
                if (!error)
                {
                    self->handle_datagram(size);
                }
                self->receive_next();
            });
    }

    void handle_datagram(std::size_t size)
    {
        const endpoint from = from_asio(sender_);
        try
        {
            run_core(
                [&](gossip_core& core)
                {
                    ++counters_.datagrams_received;
                    counters_.bytes_received += size;
                    return core.receive(clock::now(), from, {buffer_.data(), size});
                });
        }
        catch (const codec_error& error)
        {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                ++counters_.datagrams_malformed;
            }
            if (callbacks_.on_malformed)
            {
                callbacks_.on_malformed(from, error.what());
            }
        }
    }

    // Calls a function of the core under the lock, then sends the datagrams and reports
    // the changes without the lock.
    template <class Function>
    void run_core(Function function)
    {
        std::vector<outgoing_datagram> datagrams;
        std::vector<member_change> changes;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            datagrams = function(core_);
            changes = core_.take_changes();
            counters_.datagrams_sent += datagrams.size();
            for (const outgoing_datagram& datagram : datagrams)
            {
                counters_.bytes_sent += datagram.bytes.size();
            }
        }
        for (const outgoing_datagram& datagram : datagrams)
        {
            send(datagram);
        }
        if (!changes.empty() && callbacks_.on_change && !stopped_)
        {
            callbacks_.on_change(changes);
        }
    }

    // Ignores errors, which the protocol handles like lost datagrams.
    void send(const outgoing_datagram& datagram)
    {
        std::error_code error;
        const auto ip = asio::ip::make_address(datagram.to.address, error);
        if (!error)
        {
            socket_.send_to(asio::buffer(datagram.bytes), {ip, datagram.to.port}, 0,
                            error);
        }
    }

    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    asio::steady_timer timer_;
    gossip_callbacks callbacks_;
    endpoint local_endpoint_;
    std::atomic<bool> stopped_{false};
    std::array<char, receive_buffer_bytes> buffer_{};
    udp::endpoint sender_;
    mutable std::mutex mutex_;
    gossip_core core_;
    gossip_counters counters_;
};

gossip_udp::gossip_udp(asio::io_context& context, member_record self,
                       std::vector<endpoint> contacts, gossip_callbacks callbacks,
                       gossip_options options, const std::optional<endpoint>& listen)
    : impl_(std::make_shared<impl>(context, std::move(self), std::move(contacts),
                                   std::move(callbacks), options, listen))
{
}

gossip_udp::~gossip_udp()
{
    stop();
}

void gossip_udp::start()
{
    impl_->start();
}

void gossip_udp::stop()
{
    impl_->stop();
}

endpoint gossip_udp::local_endpoint() const
{
    return impl_->local_endpoint();
}

member_record gossip_udp::self() const
{
    return impl_->with_core([](const gossip_core& core) { return core.self(); });
}

bool gossip_udp::superseded() const
{
    return impl_->with_core([](const gossip_core& core) { return core.superseded(); });
}

std::vector<member_view> gossip_udp::members() const
{
    return impl_->with_core([](const gossip_core& core) { return core.members(); });
}

void gossip_udp::update_self(const std::function<void(member_record&)>& edit)
{
    impl_->update_self(edit);
}

void gossip_udp::add_contacts(const std::vector<endpoint>& contacts)
{
    impl_->add_contacts(contacts);
}

gossip_counters gossip_udp::counters() const
{
    return impl_->counters();
}

} // namespace fescueridge
