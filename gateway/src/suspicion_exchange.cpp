#include "laburnum/gateway/suspicion_exchange.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

constexpr std::string_view kPath = "/suspicions";
constexpr int kSendings = 3;
/// Delay of the second sending, doubled for the third.
constexpr Duration kResendDelay = milliseconds(500);
/// Gateways that one which has started asks what they suspect.
constexpr std::size_t kPeersToAsk = 3;

std::string
encode(const CrashSuspicions::Records& aRecords)
{
  std::string body;
  wire::encode(wire::encodeSuspicions(aRecords), body);
  return body;
}

} // namespace

SuspicionExchange::SuspicionExchange(Loop& aLoop,
                                     PermitExchange& aPeers,
                                     CrashSuspicions& aSuspicions)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mSuspicions(aSuspicions)
{
}

void
SuspicionExchange::start()
{
  mPeers.onMessage(std::string(kPath),
                   [this](std::string_view aBody) { return answer(aBody); });
}

void
SuspicionExchange::share(const CrashSuspicions::Records& aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  const std::string body = encode(aRecords);
  for (const Peer& peer : mKnown) {
    mLoop.spawn(deliver(peer, body));
  }
  mPeers.readPeersIfOld(); // Others may have been registered since.
}

void
SuspicionExchange::peersRead()
{
  const std::vector<Peer> others = mPeers.others();
  const auto records = mSuspicions.records(mLoop.now());
  const std::string body = encode(records);
  const bool isFirst = mKnown.empty();
  std::size_t asked = 0;
  for (const Peer& peer : others) {
    const bool isNew = mKnown.insert(peer).second;
    if (isNew && (isFirst ? asked < kPeersToAsk || !records.empty()
                          : !records.empty())) {
      ++asked;
      mLoop.spawn(deliver(peer, body));
    }
  }
  std::erase_if(mKnown, [&others](const Peer& aPeer) {
    return std::find(others.begin(), others.end(), aPeer) == others.end();
  });
}

std::string
SuspicionExchange::answer(std::string_view aBody)
{
  merge(aBody);
  return encode(mSuspicions.records(mLoop.now()));
}

void
SuspicionExchange::merge(std::string_view aBody)
{
  if (aBody.size() < wire::kLengthBytes) {
    return;
  }
  const std::string_view frame = aBody.substr(wire::kLengthBytes);
  const auto message = wire::decode(
    { reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size() });
  const auto* suspects =
    message ? std::get_if<wire::SuspectsT>(&*message) : nullptr;
  if (suspects != nullptr) {
    mSuspicions.merge(*suspects, mLoop.now());
  }
}

asio::awaitable<void>
SuspicionExchange::deliver(Peer aPeer, std::string aBody)
{
  Duration delay = kResendDelay;
  for (int sending = 1; sending <= kSendings; ++sending) {
    if (const auto reply =
          co_await mPeers.message(aPeer, std::string(kPath), aBody)) {
      merge(*reply);
      co_return;
    }
    if (sending < kSendings) {
      co_await mLoop.sleep(delay);
      delay *= 2;
    }
  }
  log(
    LogLevel::Info, "suspicions_not_shared", { { "gateway", aPeer.instance } });
}

} // namespace laburnum::gateway
