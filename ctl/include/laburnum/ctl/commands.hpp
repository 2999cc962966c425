#pragma once

#include "laburnum/coordination/object_client.hpp"

#include <string>
#include <vector>

namespace laburnum::ctl {

/// Exit codes of laburnumctl; docs/OPERATIONS.md lists them.
enum class ExitCode : int
{
  Good = 0,
  Usage = 1,
  Invalid = 2,
  Conflict = 3,
  NotFound = 4,
  Unavailable = 5,
  TimedOut = 6
};

/// What the command line said.
struct Options
{
  std::vector<std::string> words;
  std::vector<contract::Address> platform;
  bool json = false;
  std::string who;
  std::string base; ///< Version that was edited, or empty.
  bool wait = false;
  Duration timeout = seconds(30);
};

/// What a command printed and how it ended.
struct CommandResult
{
  ExitCode code = ExitCode::Good;
  std::string output;
  std::string error;
};

/// Runs one command. Pre: none. Thread safety: loop thread.
asio::awaitable<CommandResult>
runCommand(Loop& aLoop, Options aOptions);

// Commands over all instances (fleet.cpp).

asio::awaitable<CommandResult>
showStatus(Loop& aLoop,
           coordination::ObjectClient& aClient,
           const Options& aOptions);
asio::awaitable<CommandResult>
waitForRollout(Loop& aLoop,
               coordination::ObjectClient& aClient,
               const Options& aOptions);
asio::awaitable<CommandResult>
drainInstance(Loop& aLoop,
              coordination::ObjectClient& aClient,
              const Options& aOptions);

/// The exit code and text of a failure. Pre: none. Thread safety: any thread.
CommandResult
failed(const Failure& aFailure);

/// Rows under headings, columns aligned. Pre: rows as wide as the headings.
std::string
table(const std::vector<std::string>& aHeadings,
      const std::vector<std::vector<std::string>>& aRows);

} // namespace laburnum::ctl
