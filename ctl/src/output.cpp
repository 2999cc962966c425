#include "laburnum/ctl/commands.hpp"

#include <algorithm>

namespace laburnum::ctl {

CommandResult
failed(const Failure& aFailure)
{
  ExitCode code = ExitCode::Unavailable;
  switch (aFailure.error) {
    case Error::InvalidObject:
    case Error::InvalidSettings:
    case Error::MalformedRequest:
      code = ExitCode::Invalid;
      break;
    case Error::Conflict:
      code = ExitCode::Conflict;
      break;
    case Error::ObjectNotFound:
      code = ExitCode::NotFound;
      break;
    default:
      break;
  }
  const ErrorInfo& facts = info(aFailure.error);
  std::string text(facts.id);
  text.append(": ")
    .append(facts.cause)
    .append("\n")
    .append(aFailure.detail)
    .append("\n");
  text.append("remedy: ").append(facts.remedy).append("\n");
  return { .code = code, .error = std::move(text) };
}

std::string
table(const std::vector<std::string>& aHeadings,
      const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const std::string& heading : aHeadings) {
    widths.push_back(heading.size());
  }
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto line = [&](const std::vector<std::string>& aCells) {
    std::string text;
    for (std::size_t i = 0; i < aCells.size(); ++i) {
      text += aCells[i];
      if (i + 1 < aCells.size()) {
        text += std::string(widths[i] - aCells[i].size() + 2, ' ');
      }
    }
    return text + "\n";
  };
  std::string text = line(aHeadings);
  for (const auto& row : aRows) {
    text += line(row);
  }
  return text;
}

} // namespace laburnum::ctl
