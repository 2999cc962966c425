#include "laburnum/node/node.hpp"

#include <boost/json/serialize.hpp>

namespace laburnum::node {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

http::Response
text(bhttp::status aStatus,
     std::string aBody,
     std::string_view aType = "text/plain")
{
  http::Response response{ aStatus, 11 };
  response.set(bhttp::field::content_type, aType);
  response.body() = std::move(aBody);
  return response;
}

} // namespace

asio::awaitable<void>
Node::operate(http::Session& aSession, http::Request aRequest)
{
  const std::string_view target = aRequest.target();
  http::Response response = text(bhttp::status::not_found, "unknown path\n");
  if (target == "/livez") {
    response = text(bhttp::status::ok, "live\n");
  } else if (target == "/readyz") {
    response = isReady()
                 ? text(bhttp::status::ok, "ready\n")
                 : text(bhttp::status::service_unavailable, "not ready\n");
  } else if (target == "/metrics") {
    response = text(bhttp::status::ok, mMetrics.print());
  } else if (target == "/status") {
    response = status();
  } else if (target.starts_with("/orders/")) {
    response = operatorOrder(aRequest);
  }
  co_await aSession.write(std::move(response));
}

http::Response
Node::status()
{
  json::array members;
  for (const auto& [name, member] : mMembership->members()) {
    members.push_back(json::object{
      { "name", name },
      { "state", nameIn(membership::kMemberStateNames, member.state) },
      { "role", nameIn(contract::kRoleNames, member.role) },
      { "failure_domain", member.domain },
      { "address", member.address.text() } });
  }
  json::object versions;
  for (const contract::Object* object : mStore.newerThan(0)) {
    versions[object->kind + "/" + object->name] = object->version;
  }
  json::object invalid;
  for (const auto& [key, fault] : mStore.invalid()) {
    invalid[key] = fault;
  }
  const auto age = mSpread->confirmationAge(mLoop.now());
  json::object body{ { "instance", mSettings.instance },
                     { "role", nameIn(contract::kRoleNames, mSettings.role) },
                     { "failure_domain", mSettings.failureDomain },
                     { "state", nameIn(kDrainStateNames, mDrain.state()) },
                     { "ready", isReady() },
                     { "watcher", mMembership->isWatcher() },
                     { "instances_duty", mInstancesDuty.state() },
                     { "placement_duty", mPlacement.state() },
                     { "placement", mPlacement.explain() },
                     { "config_age_s",
                       age ? json::value(toSeconds(*age))
                           : json::value(nullptr) },
                     { "members", std::move(members) },
                     { "versions", std::move(versions) },
                     { "invalid", std::move(invalid) } };
  if (mHooks.status) {
    for (auto& field : mHooks.status()) {
      body[field.key()] = std::move(field.value());
    }
  }
  return text(bhttp::status::ok, json::serialize(body), "application/json");
}

http::Response
Node::operatorOrder(const http::Request& aRequest)
{
  if (aRequest.method() != bhttp::verb::post) {
    return text(bhttp::status::method_not_allowed, "orders are sent by POST\n");
  }
  if (aRequest.target() == "/orders/drain") {
    stopGracefully("operator's order");
    return text(bhttp::status::accepted, "draining\n");
  }
  return text(bhttp::status::not_found, "unknown order\n");
}

} // namespace laburnum::node
