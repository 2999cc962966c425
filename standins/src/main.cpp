#include "laburnum/kernel/log.hpp"
#include "laburnum/standins/servers.hpp"

#include <csignal>
#include <cstdio>
#include <list>
#include <optional>
#include <string>
#include <tclap/CmdLine.h>

using namespace laburnum;

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine command(
    "laburnumbank stand-in: platform, engine, service or group", ' ', "0.1");
  TCLAP::UnlabeledValueArg<std::string> kind(
    "kind", "platform, engine, service or group", true, "", "kind", command);
  TCLAP::ValueArg<std::string> listen(
    "l", "listen", "address", false, "127.0.0.1:0", "ip:port", command);
  TCLAP::ValueArg<int> slots(
    "s", "slots", "engine: sequences in a batch", false, 8, "n", command);
  TCLAP::ValueArg<int> stepMicros(
    "t", "step-us", "engine: time of a step", false, 18000, "us", command);
  TCLAP::ValueArg<int> perSequence("q",
                                   "sequence-us",
                                   "engine: time of a step for each sequence",
                                   false,
                                   250,
                                   "us",
                                   command);
  TCLAP::ValueArg<std::string> model(
    "m",
    "model",
    "engine: NAME@VERSION that it holds at first; it then takes orders to load",
    false,
    "",
    "model",
    command);
  TCLAP::ValueArg<int> loadMillis(
    "", "load-ms", "engine: time to load a model", false, 1000, "ms", command);
  TCLAP::SwitchArg fencing(
    "f", "fencing", "engine: refuses orders with an old number", command);
  TCLAP::ValueArg<int> servers(
    "", "servers", "group: engines that share it", false, 2, "n", command);
  TCLAP::ValueArg<int> ranks(
    "r", "ranks", "group: ranks on each engine", false, 2, "n", command);
  command.parse(argc, argv);
  const auto address = contract::parseAddress(listen.getValue());
  if (!address) {
    std::fprintf(stderr, "--listen: %s\n", address.failure().detail.c_str());
    return 2;
  }
  Loop loop;
  std::optional<standins::PlatformServer> platform;
  std::optional<standins::EngineServer> engine;
  std::optional<standins::ServiceServer> service;
  std::list<standins::EngineServer> group;
  std::string bound;
  if (kind.getValue() == "platform") {
    bound = platform.emplace(loop, *address).address().text();
  } else if (kind.getValue() == "engine") {
    const standins::EngineOptions options{
      .slots = slots.getValue(),
      .stepBase = microseconds(stepMicros.getValue()),
      .stepPerSequence = microseconds(perSequence.getValue())
    };
    standins::EngineModels models{ .loadTime =
                                     milliseconds(loadMillis.getValue()),
                                   .fencing = fencing.getValue() };
    if (model.isSet()) {
      models.held = { model.getValue() };
    }
    bound = engine.emplace(loop, *address, options, models).address().text();
  } else if (kind.getValue() == "group") {
    const auto each = static_cast<std::size_t>(ranks.getValue());
    const auto count = static_cast<std::size_t>(servers.getValue());
    const auto shared =
      std::make_shared<standins::RankGroup>(standins::RankGroupOptions{
        .ranks = each * count, .experts = 4 * each * count });
    for (std::size_t i = 0; i < count; ++i) {
      const standins::EnginePart part{ .group = shared,
                                       .firstRank =
                                         static_cast<experts::Rank>(i * each),
                                       .ranks = each };
      group.emplace_back(loop,
                         *address,
                         standins::EngineOptions{},
                         standins::EngineModels{},
                         part);
      bound += (i == 0 ? "" : "\n") + group.back().address().text();
    }
    loop.every(microseconds(stepMicros.getValue()),
               [shared] { shared->step(); });
  } else if (kind.getValue() == "service") {
    bound = service.emplace(loop, *address).address().text();
  } else {
    std::fprintf(stderr,
                 "kind: found \"%s\", expected platform, engine, service or "
                 "group\n",
                 kind.getValue().c_str());
    return 2;
  }
  std::printf("%s\n", bound.c_str());
  std::fflush(stdout);
  loop.run();
  return 0;
}
