#pragma once

#include "laburnum/bench/event_queue.hpp"
#include "laburnum/membership/config_spread.hpp"
#include "laburnum/membership/membership.hpp"
#include "laburnum/standins/platform_core.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace laburnum::bench {

struct SpreadOptions
{
  std::size_t daemons = 1200;
  std::size_t domains = 8;
  double loss = 0.02;             ///< Of messages between daemons.
  Duration hop = milliseconds(1); ///< One way, at least.
  Duration call = milliseconds(5);
  bool knowEachOther = true;    ///< Off: daemons join through two seeds.
  bool hasConfiguration = true; ///< Daemons start with what is accepted.
  bool mergeByVersion = true;   ///< Off: any other version is adopted.
  membership::MembershipOptions membership;
  membership::ConfigDisseminationOptions spread;
};

struct SpreadCounts
{
  std::vector<double> inForce; ///< Seconds from acceptance, by daemon.
  std::uint64_t reverts = 0;   ///< A lower version after a higher one.
  std::uint64_t platformCalls = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;      ///< Of messages, as encoded, both ways.
  std::vector<double> detected; ///< Seconds until a death was known.
  std::vector<double> leavingKnown;
  std::uint64_t falseDeaths = 0;
  std::uint64_t missing = 0; ///< Daemons behind at the end.
};

/// Daemons with the real membership and configuration decisions on loopback
/// links of the event queue, and the platform's stand-in.
/// Thread safety: one thread.
class SpreadWorld
{
public:
  SpreadWorld(std::uint64_t aSeed, SpreadOptions aOptions);

  EventQueue& queue() { return mQueue; }

  // What happens; each is timed from now.

  /// An operator's change is accepted by the platform.
  void change(const std::string& aName);
  void kill(std::size_t aDaemon);
  void restart(std::size_t aDaemon);
  void leave(std::size_t aDaemon);
  void pause(std::size_t aDaemon, Duration aTime);
  /// Cuts a domain off from the others and, if wanted, the platform.
  void cutDomain(std::size_t aDomain, bool aFromPlatform, bool aCut);
  /// Loses all that one daemon sends to another, but not what comes back.
  void loseOneWay(std::size_t aFrom, std::size_t aTo)
  {
    mLostOneWay.insert({ aFrom, aTo });
  }
  /// Splits a domain into two halves that don't reach each other, or joins
  /// them again; both still reach the other domains.
  void splitDomain(std::size_t aDomain, bool aSplit);
  void platformOutage(bool aOut) { mPlatform.faults.outage = aOut; }

  /// Plays for a time. Pre: none.
  void play(Duration aTime);

  /// Peak of platform calls in any second since the last call of this.
  double peakCalls();

  /// Counts who is behind the platform, among live daemons. Pre: none.
  SpreadCounts counts();

private:
  struct Daemon
  {
    std::string name;
    std::size_t domain = 0;
    bool live = true;
    std::uint64_t life = 0;
    std::uint64_t incarnation = 1;
    Instant pausedUntil{};
    std::unique_ptr<contract::ObjectStore> store;
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<membership::ConfigDissemination> spread;
    std::set<std::size_t> links;
    std::map<std::string, std::uint64_t> seen; ///< Highest version in force.
  };

  void start(std::size_t aDaemon);
  void tick(std::size_t aDaemon);
  void beat(std::size_t aDaemon);
  void run(std::size_t aDaemon,
           const membership::Membership::Actions& aActions);
  void run(std::size_t aDaemon,
           const membership::ConfigDissemination::Actions& aActions);
  void connect(std::size_t aFrom, const std::string& aTo);
  void disconnect(std::size_t aLeft, std::size_t aRight);
  void send(std::size_t aFrom,
            const std::string& aTo,
            std::size_t aBytes,
            std::function<void(Daemon&, std::size_t)> aTask);
  void ask(std::size_t aDaemon, const membership::QueryPlatform& aAsk);
  void answer(std::size_t aDaemon,
              std::uint64_t aLife,
              std::uint64_t aAfter,
              Instant aUntil);
  bool reaches(std::size_t aFrom, std::size_t aTo) const;
  std::size_t halfOf(std::size_t aDaemon) const;
  void dropLinks();
  void countCall();
  membership::Member memberOf(const Daemon& aDaemon) const;

  EventQueue mQueue;
  SpreadOptions mOptions;
  standins::PlatformCore mPlatform;
  std::vector<Daemon> mDaemons;
  std::map<std::string, std::size_t> mIndex;
  std::map<std::string, Instant> mAcceptedAt;
  std::map<std::string, Instant> mKilledAt;
  std::map<std::string, Instant> mLeftAt;
  std::set<std::string> mFalseDeaths;
  std::vector<bool> mCut;
  std::vector<bool> mCutFromPlatform;
  std::vector<bool> mSplit;
  std::set<std::pair<std::size_t, std::size_t>> mLostOneWay;
  std::set<std::size_t> mWaitingWatches;
  std::map<std::int64_t, std::uint64_t> mCallsBySecond;
  SpreadCounts mCounts;
  Instant mEnd{};
};

} // namespace laburnum::bench
