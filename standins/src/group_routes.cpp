#include "laburnum/standins/servers.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::standins {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

http::Response
answer(json::object aBody)
{
  http::Response response{ bhttp::status::ok, 11 };
  response.body() = json::serialize(aBody);
  return response;
}

json::array
toJson(const std::vector<experts::SwitchEnvelope>& aNotes)
{
  json::array notes;
  for (const experts::SwitchEnvelope& note : aNotes) {
    notes.push_back(experts::toJson(note));
  }
  return notes;
}

json::array
toJson(const std::vector<std::vector<double>>& aLoads)
{
  json::array layers;
  for (const auto& loads : aLoads) {
    layers.push_back(json::array(loads.begin(), loads.end()));
  }
  return layers;
}

} // namespace

http::Response
EngineServer::groupCall(const http::Request& aRequest)
{
  RankGroup& group = *mPart.group;
  const std::string_view target = aRequest.target();
  json::error_code error;
  const json::value body = json::parse(aRequest.body(), error);
  if (target == "/group") {
    return answer(
      { { "name", group.options().name },
        { "first_rank", mPart.firstRank },
        { "ranks", mPart.ranks },
        { "size", group.options().ranks },
        { "epoch", group.epoch() },
        { "step", group.steps() },
        { "armed", group.isArmed(mPart.firstRank, mPart.ranks) },
        { "notes", toJson(group.questions(mPart.firstRank, mPart.ranks)) } });
  }
  if (target == "/group/map") {
    return answer({ { "map", experts::toJson(group.map()) },
                    { "loads", toJson(group.loads()) } });
  }
  if (target == "/group/messages" && !error) {
    const auto note = experts::parseSwitchEnvelope(body);
    if (note) {
      return answer({ { "notes", toJson(group.handle(*note)) } });
    }
  }
  if (target == "/group/prepare" && !error && body.is_object()) {
    contract::FieldReader reader(body, "");
    const auto epoch = static_cast<experts::Epoch>(
      reader.integer("epoch", 0, 1, std::numeric_limits<std::int64_t>::max()));
    const json::value* map = body.as_object().if_contains("map");
    const auto parsed =
      experts::parseGroupMap(map == nullptr ? json::value() : *map);
    if (parsed) {
      return answer(
        { { "prepared",
            group.prepare(mPart.firstRank, mPart.ranks, epoch, *parsed) } });
    }
  }
  if (target == "/group/drift") {
    group.drift();
    return answer({});
  }
  if (target == "/group/counts") {
    return answer({ { "epoch", group.epoch() },
                    { "steps", group.steps() },
                    { "mixed", group.mixed() },
                    { "longest_stall", group.longestStall() },
                    { "skew_percent", static_cast<int>(100 * group.skew()) } });
  }
  return http::Response{ bhttp::status::bad_request, 11 };
}

} // namespace laburnum::standins
