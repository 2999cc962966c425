#include "laburnum/kernel/metrics.hpp"

#include <array>
#include <cstdio>

namespace laburnum {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };

std::string
number(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.9g", aValue);
  return text.data();
}

} // namespace

LatencySummary::LatencySummary()
  : mSet(acc::extended_p_square_probabilities = kQuantiles)
{
}

void
LatencySummary::add(Duration aValue)
{
  mSet(toSeconds(aValue));
}

void
LatencySummary::print(std::string_view aName, std::string& aText) const
{
  const std::string name(aName);
  if (acc::count(mSet) > 0) {
    for (const double share : kQuantiles) {
      const double value =
        acc::quantile(mSet, acc::quantile_probability = share);
      aText +=
        name + "{quantile=\"" + number(share) + "\"} " + number(value) + "\n";
    }
  }
  aText += name + "_sum " + number(acc::sum(mSet)) + "\n";
  aText += name + "_count " + std::to_string(acc::count(mSet)) + "\n";
}

std::uint64_t&
Metrics::counter(std::string_view aName)
{
  return mCounters.try_emplace(std::string(aName), 0).first->second;
}

void
Metrics::gauge(std::string_view aName, std::function<double()> aRead)
{
  mGauges[std::string(aName)] = std::move(aRead);
}

LatencySummary&
Metrics::summary(std::string_view aName)
{
  return mSummaries.try_emplace(std::string(aName)).first->second;
}

std::string
Metrics::print() const
{
  std::string text;
  for (const auto& [name, value] : mCounters) {
    text += name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, read] : mGauges) {
    text += name + " " + number(read()) + "\n";
  }
  for (const auto& [name, summary] : mSummaries) {
    summary.print(name, text);
  }
  return text;
}

} // namespace laburnum
