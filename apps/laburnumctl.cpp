#include "laburnum/ctl/commands.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <tclap/CmdLine.h>

using namespace laburnum;

namespace {

std::string
environment(const char* aName, const char* aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : value;
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine command(
    "laburnumctl, the operators' command of laburnumbank", ' ', "0.1.0");
  TCLAP::MultiArg<std::string> platform(
    "p",
    "platform",
    "address of the platform's object API (or LABURNUM_PLATFORM)",
    false,
    "ip:port",
    command);
  TCLAP::ValueArg<std::string> output(
    "o", "output", "json or table", false, "table", "form", command);
  TCLAP::ValueArg<std::string> who("",
                                   "by",
                                   "who makes the change (or USER)",
                                   false,
                                   environment("USER", "unknown"),
                                   "name",
                                   command);
  TCLAP::ValueArg<std::string> base(
    "", "base", "version that was edited", false, "", "version", command);
  TCLAP::SwitchArg wait(
    "w", "wait", "rollout: wait until it is in force everywhere", command);
  TCLAP::ValueArg<int> timeout(
    "", "timeout", "rollout: longest wait", false, 30, "s", command);
  TCLAP::UnlabeledMultiArg<std::string> words(
    "command", "see the commands with no arguments", false, "word", command);
  command.parse(argc, argv);
  ctl::Options options{ .words = words.getValue(),
                        .json = output.getValue() == "json" };
  if (output.getValue() != "json" && output.getValue() != "table") {
    std::fprintf(stderr,
                 "--output: found \"%s\", expected json or table\n",
                 output.getValue().c_str());
    return static_cast<int>(ctl::ExitCode::Usage);
  }
  std::vector<std::string> addresses = platform.getValue();
  if (addresses.empty() && std::getenv("LABURNUM_PLATFORM") != nullptr) {
    addresses.push_back(std::getenv("LABURNUM_PLATFORM"));
  }
  for (const std::string& text : addresses) {
    const auto address = contract::parseAddress(text);
    if (!address) {
      std::fprintf(
        stderr, "--platform: %s\n", address.failure().detail.c_str());
      return static_cast<int>(ctl::ExitCode::Usage);
    }
    options.platform.push_back(*address);
  }
  options.who = who.getValue();
  options.base = base.getValue();
  options.wait = wait.getValue();
  options.timeout = seconds(timeout.getValue());
  Loop loop;
  ctl::CommandResult result;
  loop.spawn([](Loop& aLoop,
                ctl::Options aOptions,
                ctl::CommandResult& aResult) -> asio::awaitable<void> {
    aResult = co_await ctl::runCommand(aLoop, std::move(aOptions));
    aLoop.stop();
  }(loop, std::move(options), result));
  loop.run();
  std::fputs(result.output.c_str(), stdout);
  std::fputs(result.error.c_str(), stderr);
  return static_cast<int>(result.code);
}
