#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/gateway/context.hpp"
#include "laburnum/gateway/store_freshness.hpp"
#include "laburnum/wire/link.hpp"

#include <functional>
#include <map>
#include <memory>

namespace laburnum::gateway {

/// Keeps a link to one steward of each group and passes on what it tells of the
/// group. The steward is one of the own failure domain if there is any, so that
/// each failure domain receives the state of a group once. Another one of the
/// same group is tried if a steward is silent.
///
/// Which groups there are is known from the stewards only. The first link of a
/// service goes to a steward of any of its servers; from then on links go to
/// stewards of servers that no known group names, until every server is covered
/// or its steward has reported nothing new. Of two links that report the same
/// group one is closed.
///
/// Through the stewards, gateways also exchange which requests crash servers.
///
/// Thread safety: loop thread only.
class GroupFollower
{
public:
  /// Receive what is known of groups.
  struct Handlers
  {
    std::function<void(const GroupKey&, const GroupStatus&)> status;
    /// No status of a group was received for long, or all its servers are in
    /// others.
    std::function<void(const GroupKey&)> gone = [](const GroupKey&) {};
  };

  /// aFreshness receives what other gateways have seen of the store.
  /// @pre The references outlive this object.
  GroupFollower(const contract::Settings& aSettings,
                Context& aContext,
                StoreFreshness& aFreshness,
                Handlers aHandlers);

  /// Opens links that are missing, closes those that are silent, and tells
  /// what this gateway has seen of the store if that has changed. To be called
  /// a few times a second.
  void maintain();

  /// Sends changes of the quarantine to the stewards, which pass them on to all
  /// gateways.
  void shareSuspicions(const std::vector<policy::SuspicionRecord>& aChanges);

  /// True if a steward is connected, which passes suspicions on.
  bool hasLink() const;

private:
  using LinkPtr = std::shared_ptr<wire::Link>;
  /// A link to a steward, or the attempt to open one.
  struct Follow
  {
    std::string service;
    contract::Address server; ///< Beside which the steward runs.
    LinkPtr link;             ///< Null while connecting.
    bool hasTold = false;     ///< Then `group` is valid.
    std::string group;
    Instant heardAt{}; ///< Last status, or when the link was opened.
    std::vector<contract::Address> servers; ///< Of each rank.
    StoreNews toldNews;
  };
  using FollowPtr = std::shared_ptr<Follow>;
  /// A group of which a steward has sent a status.
  struct KnownGroup
  {
    std::size_t candidate = 0; ///< Index of the steward among the candidates.
    Instant toldAt{};
    /// Ids of the servers of all ranks; empty if never in the list.
    std::map<contract::Address, std::string> servers;
  };
  /// A steward that has sent no status of its server's group.
  struct Asked
  {
    Instant nextAt{};
    int count = 0;
  };
  struct ServiceState
  {
    std::vector<FollowPtr> follows;
    std::map<std::string, KnownGroup> groups; ///< By name.
    std::map<contract::Address, Asked> asked;
    std::size_t candidate = 0; ///< While no group is known.
  };

  /// Stewards of some servers in the order in which they are tried: those of
  /// the own failure domain, or all if there are none. An empty filter takes
  /// all servers of the service.
  std::vector<contract::Address> candidates(
    const std::string& aService,
    const std::function<bool(const contract::Address&)>& aFilter = {}) const;
  void maintainService(const std::string& aService, ServiceState& aState);
  void closeSilent(ServiceState& aState);
  void forgetGroups(const std::string& aService, ServiceState& aState);
  void followGroups(const std::string& aService, ServiceState& aState);
  /// Opens links to stewards of servers that no known group names.
  void explore(const std::string& aService, ServiceState& aState);
  void connect(const std::string& aService,
               ServiceState& aState,
               const contract::Address& aServer);
  void linkReady(const FollowPtr& aFollow, const LinkPtr& aLink);
  /// Removes a link that is silent, closed or not needed.
  void remove(const FollowPtr& aFollow);
  /// Removes a link and goes on with another steward.
  void lose(const FollowPtr& aFollow);
  void processStatus(const FollowPtr& aFollow,
                     const wire::GroupStatusT& aStatus);
  /// Records the group that a link reports. Returns whether the link is kept.
  bool identify(const FollowPtr& aFollow, const std::string& aGroup);
  void learnServers(const Follow& aFollow, KnownGroup& aGroup);
  bool isOfOwnDomain(const Follow& aFollow) const;
  void tellNews(Follow& aFollow);
  /// Sends suspicions to the stewards of all services but one.
  void sendSuspicions(const std::vector<policy::SuspicionRecord>& aChanges,
                      const std::string& aExceptService);
  /// Processes what a steward of a service passes on.
  void processSuspicions(const std::string& aService,
                         const wire::SuspectsT& aMessage);

  const contract::Settings& mSettings;
  Context& mContext;
  StoreFreshness& mFreshness;
  Handlers mHandlers;
  wire::Identity mIdentity;
  std::map<std::string, ServiceState> mServices; ///< By name.
};

} // namespace laburnum::gateway
