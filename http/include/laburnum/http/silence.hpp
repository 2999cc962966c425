#pragma once

#include "laburnum/http/server.hpp"

namespace laburnum::http {

/// Time for which a peer may leave what it is sent unread.
inline constexpr Duration kMaxUnreadTime = seconds(30);

/// Sends small writes at once and lets the system's probes end a connection
/// whose peer is silent, within three seconds. Options that the system refuses
/// are left out. Pre: the socket is connected. Thread safety: loop thread.
///
/// A peer that does not read for two seconds while its receive window is full
/// counts as silent, too, see `SlowReading`.
void
boundSilence(asio::basic_stream_socket<asio::ip::tcp, Executor>& aSocket);

/// Lets the peer of a connection read slowly from when one message to it is
/// longer than any receive window. The system does not tell a peer that pauses
/// from one that is gone, so a silent peer is noticed later from then on.
/// Thread safety: loop thread.
class SlowReading
{
public:
  /// Called before the first bytes of a message are sent.
  void startMessage() { mMessageBytes = 0; }

  /// Called before bytes of a message are sent.
  /// @pre `boundSilence` was called for the socket.
  void beforeSending(
    asio::basic_stream_socket<asio::ip::tcp, Executor>& aSocket,
    std::size_t aBytes);

private:
  std::size_t mMessageBytes = 0;
  bool mIsAllowed = false;
};

} // namespace laburnum::http
