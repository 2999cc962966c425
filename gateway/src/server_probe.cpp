#include "laburnum/gateway/server_probe.hpp"

#include <boost/asio/steady_timer.hpp>

namespace laburnum::gateway {
namespace {

using asio::ip::tcp;

/// Same as for a request: a lost SYN packet is retransmitted after a second.
constexpr Duration kProbeTimeout = milliseconds(300);

} // namespace

/// A connection attempt and its time limit; whichever ends first counts.
struct ServerProbe::Attempt
{
  explicit Attempt(Loop& aLoop)
    : socket(aLoop.context())
    , timer(aLoop.context())
  {
  }

  asio::basic_stream_socket<tcp, http::Executor> socket;
  asio::steady_timer timer;
};

void
ServerProbe::check(const contract::Address& aServer, Handler aHandler)
{
  auto& waiting = mWaiting[aServer];
  waiting.push_back(std::move(aHandler));
  if (waiting.size() > 1) {
    return;
  }
  const auto attempt = std::make_shared<Attempt>(mLoop);
  attempt->timer.expires_after(kProbeTimeout);
  attempt->timer.async_wait([attempt](boost::system::error_code aError) {
    if (!aError) {
      attempt->socket.close(aError);
    }
  });
  boost::system::error_code error; // An invalid address fails to connect.
  const tcp::endpoint endpoint(asio::ip::make_address(aServer.host, error),
                               aServer.port);
  attempt->socket.async_connect(
    endpoint, [this, attempt, aServer](boost::system::error_code aError) {
      attempt->timer.cancel();
      attempt->socket.close();
      finish(aServer,
             !aError ? ProbeResult::Reachable
             : aError == asio::error::connection_refused
               ? ProbeResult::Refused
               : ProbeResult::Unknown);
    });
}

void
ServerProbe::finish(const contract::Address& aServer, ProbeResult aResult)
{
  const auto found = mWaiting.find(aServer);
  const std::vector<Handler> handlers = std::move(found->second);
  mWaiting.erase(found);
  for (const Handler& handler : handlers) {
    handler(aResult);
  }
}

} // namespace laburnum::gateway
