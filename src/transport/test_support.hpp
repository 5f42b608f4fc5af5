#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>

#include "fescueridge/base/endpoint.hpp"

namespace fescueridge::test
{

/// An io_context run by some threads until the end of the scope.
class io_threads
{
public:
    explicit io_threads(unsigned threads = 2) : guard_(asio::make_work_guard(io))
    {
        for (unsigned i = 0; i < threads; ++i)
            threads_.emplace_back([this] { io.run(); });
    }
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;
    ~io_threads()
    {
        guard_.reset();
        io.stop();
        for (auto& thread : threads_)
            thread.join();
    }

    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::vector<std::thread> threads_;
};

/// Waits until the condition holds; returns false after 5 s.
inline bool eventually(const std::function<bool()>& condition)
{
    for (int i = 0; i < 5000; ++i)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

/// Blocking TCP peer that sends and receives raw bytes.
class raw_peer
{
public:
    explicit raw_peer(const endpoint& target) : socket_(io_)
    {
        socket_.connect({asio::ip::make_address(target.address), target.port});
    }
    explicit raw_peer(asio::ip::tcp::acceptor& acceptor) : socket_(io_)
    {
        acceptor.accept(socket_);
    }

    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }

    /// Sends bytes and takes a refusal in the middle as given.
    void try_send(const std::string& bytes)
    {
        asio::error_code ec;
        asio::write(socket_, asio::buffer(bytes), ec);
    }

    /// Sends the bytes again and again until the peer closes or the maximum is reached;
    /// returns the number of bytes sent.
    std::size_t send_until_closed(const std::string& bytes, std::size_t max_bytes)
    {
        std::size_t sent = 0;
        asio::error_code ec;
        while (!ec && sent < max_bytes)
            sent += asio::write(socket_, asio::buffer(bytes), ec);
        return sent;
    }

    /// Reads until the text has come or the connection ends; returns everything read.
    std::string read_until(const std::string& text)
    {
        std::string got;
        asio::error_code ec;
        asio::read_until(socket_, asio::dynamic_buffer(got), text, ec);
        return got;
    }

    /// Reads until the connection ends.
    std::string read_all()
    {
        std::string got;
        asio::error_code ec;
        asio::read(socket_, asio::dynamic_buffer(got), ec);
        return got;
    }

    /// Reads what has come, at most `size` bytes; returns 0 when the connection ends.
    std::size_t read_up_to(std::size_t size)
    {
        std::string got(size, '\0');
        asio::error_code ec;
        return socket_.read_some(asio::buffer(got), ec);
    }

    /// Ends the own direction; the peer may go on sending.
    void finish_sending() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }

    void close() { socket_.close(); }

private:
    asio::io_context io_;
    asio::ip::tcp::socket socket_;
};

/// Listening socket on a free loopback port, for scripted servers.
class raw_listener
{
public:
    raw_listener() : acceptor(io_, {asio::ip::address_v4::loopback(), 0}) {}

    endpoint bound() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

private:
    asio::io_context io_;

public:
    asio::ip::tcp::acceptor acceptor;
};

} // namespace fescueridge::test
