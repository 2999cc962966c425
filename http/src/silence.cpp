#include "laburnum/http/silence.hpp"

#include <netinet/tcp.h>

namespace laburnum::http {
namespace {

using asio::ip::tcp;

/// Two lost probes a second apart; half of the two seconds after which the
/// callers of a silent stream give up (PROTOCOL.md, Requests).
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;
constexpr int kUserTimeoutMs = 2000;
/// A message of this size fits into the receive window of a peer that has read
/// all former ones.
constexpr std::size_t kWindowBytes = 4096;
/// The owner of the connection gives up an unread one itself.
constexpr int kSlowReadingTimeoutMs =
  std::chrono::duration_cast<milliseconds>(kMaxUnreadTime).count() +
  kUserTimeoutMs;

void
setUserTimeout(asio::basic_stream_socket<tcp, Executor>& aSocket, int aTimeMs)
{
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &aTimeMs,
               sizeof(int));
}

} // namespace

void
boundSilence(asio::basic_stream_socket<tcp, Executor>& aSocket)
{
  boost::system::error_code ignored; // An option less only detects later.
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds, sizeof(int));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds, sizeof(int));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(int));
  setUserTimeout(aSocket, kUserTimeoutMs);
}

void
SlowReading::beforeSending(asio::basic_stream_socket<tcp, Executor>& aSocket,
                           std::size_t aBytes)
{
  mMessageBytes += aBytes;
  if (!mIsAllowed && mMessageBytes > kWindowBytes) {
    mIsAllowed = true;
    setUserTimeout(aSocket, kSlowReadingTimeoutMs);
  }
}

} // namespace laburnum::http
