#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/events.hpp"
#include "fescueridge/codec/messages.hpp"

namespace asio
{
class io_context;
}

namespace fescueridge
{

namespace detail
{
class link_hub_impl;
}

/// A message as it is sent, encoded once for several links.
struct encoded_message
{
    std::string bytes;
};

/// An open link to another node: the hello of both sides has been exchanged. Safe for use
/// from several threads.
class link
{
public:
    link() = default;
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    virtual ~link() = default;

    /// Queues a message. Returns false when the message was certainly not sent: the link
    /// is closed, the message is over max_frame_bytes, or the peer has left too many
    /// bytes unread. True does not promise that the message arrives.
    virtual bool send(const link_message& message) = 0;

    /// Queues a message that link_hub::encode() has encoded; as send() otherwise.
    virtual bool send_encoded(const encoded_message& message) = 0;

    /// Notes that a reply is awaited for this time: the link counts as in use until then.
    virtual void expect_reply(milliseconds timeout) = 0;

    /// Returns the hello of the peer.
    virtual const hello_message& peer() const noexcept = 0;

    /// Returns the address of the peer: the dialled one, or the remote address of an
    /// accepted link (whose port is not the listening port of the peer).
    virtual endpoint remote() const = 0;

    /// Tells whether this side opened the link.
    virtual bool dialled() const noexcept = 0;

    /// Returns the time since something was received.
    virtual milliseconds silent_for() const = 0;

    /// Returns the time since the first ping after which nothing was received, or 0 when
    /// no ping is unanswered.
    virtual milliseconds unanswered_for() const = 0;

    /// Tells whether the link can still send.
    virtual bool is_open() const noexcept = 0;

    /// Closes the link; on_close follows on an io thread.
    virtual void close() = 0;
};

using link_ptr = std::shared_ptr<link>;

/// Why a link was closed or could not be opened.
enum class link_fault_kind : std::uint8_t
{
    connect_failed,   ///< The endpoint could not be reached.
    handshake_failed, ///< The peer does not speak websocket, or sent no hello in time.
    bad_frame,        ///< A frame could not be decoded, or the hello is out of place.
    frame_too_large,  ///< A frame is over max_frame_bytes.
    silent,           ///< Nothing received for the silence limit.
    backlog,          ///< The peer does not read: too many bytes wait to be sent.
    cut               ///< The connection ended without a close message.
};

/// Returns the stable name of a kind, for events.
std::string_view to_string(link_fault_kind value) noexcept;

struct link_fault
{
    link_fault_kind kind = link_fault_kind::cut;
    endpoint remote;
    std::string detail;
};

/// Functions that a link_hub calls on io threads. For one link the calls are one at a
/// time and in the order on_open, on_message..., on_close. They must not block.
struct link_callbacks
{
    std::function<void(link_ptr, const hello_message&)> on_open;

    /// Hello, ping and pong are handled inside and not passed on.
    std::function<void(link_ptr, link_message)> on_message;

    /// Called once for each link that was opened, unless the hub itself was closed.
    std::function<void(link_ptr)> on_close;

    std::function<void(const link_fault&)> on_fault;
};

/// Times of the heartbeat; see section 6.3 of the design page.
struct link_options
{
    milliseconds ping_interval{500};
    milliseconds silence_limit{1500};
    milliseconds open_timeout{1500};
    /// Of a link that is not in use; null for the same interval as on the others.
    std::optional<milliseconds> idle_ping_interval;
    /// Most bytes that may wait to be sent on all links together when a large message is
    /// added to them; 0 for no limit. Where none wait, one is always sent.
    std::size_t max_waiting_bytes = 0;
};

/// Bytes of the encoded frames of all links since the start, without the headers of
/// websocket and TCP.
struct link_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t unknown_messages = 0; ///< Of types that this version does not know.
};

/// Long-lived links between nodes: accepts them on one endpoint and dials others. All
/// calls to a peer share one link.
class link_hub
{
public:
    /// Returns the hello to send; called for each new link, as the version changes.
    using hello_source = std::function<hello_message()>;

    /// Gets the open link, or null when it could not be opened.
    using dial_callback = std::function<void(link_ptr)>;

    /// Listens at once; port 0 picks a free port. Throws address_error when the address
    /// is in use or not usable. `events` must outlive the io_context's run.
    link_hub(asio::io_context& io, const endpoint& listen, hello_source hello,
             event_log& events, link_callbacks callbacks, link_options options = {});

    /// Closes the hub. Functions of link_callbacks that run at that moment on other
    /// threads may still finish; none starts afterwards.
    ~link_hub();

    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;

    /// Returns the address listened on, with the real port.
    endpoint bound() const;

    /// Opens a link to the link endpoint of a peer, unless a dialled link to it is open
    /// or being opened; `done` gets that one then. `done` is never called from inside
    /// dial().
    void dial(const endpoint& target, const dial_callback& done = {});

    /// Returns an open link to the node, dialled or accepted, or null. Of two nodes with
    /// one id it takes the one with the higher incarnation.
    link_ptr find(const node_id& node) const;

    /// Encodes a message for link::send_encoded().
    encoded_message encode(const link_message& message) const;

    /// Returns all open links.
    std::vector<link_ptr> links() const;

    /// Returns what all links have sent and received.
    link_counters counters() const noexcept;

    /// Closes the listening socket and all links. Waiting dials get null; on_close is not
    /// called for the links.
    void close();

private:
    std::shared_ptr<detail::link_hub_impl> impl_;
};

} // namespace fescueridge
