#pragma once

#include "laburnum/kernel/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace laburnum {

/// Count, sum, maximum and estimated quantiles of a stream of durations, by
/// the extended P-square algorithm (Jain and Chlamtac, 1985; Raatikainen,
/// 1987). Constant memory. Thread safety: loop thread.
class LatencySummary
{
public:
  LatencySummary();

  /// Adds a value. Pre: none. Complexity: constant.
  void add(Duration aValue);

  /// Appends the summary's lines in the usual text format. Pre: none.
  void print(std::string_view aName, std::string& aText) const;

private:
  using Set = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::sum,
      boost::accumulators::tag::max,
      boost::accumulators::tag::extended_p_square_quantile>>;
  Set mSet;
};

/// The counters, gauges and summaries of one daemon.
/// Thread safety: loop thread.
class Metrics
{
public:
  /// A counter that stays valid as long as this object. Pre: a valid name.
  std::uint64_t& counter(std::string_view aName);

  /// Registers a gauge that is read at each print. Pre: a valid name.
  void gauge(std::string_view aName, std::function<double()> aRead);

  /// A summary that stays valid as long as this object. Pre: a valid name.
  LatencySummary& summary(std::string_view aName);

  /// All values in the usual text format. Pre: none.
  std::string print() const;

private:
  std::map<std::string, std::uint64_t, std::less<>> mCounters;
  std::map<std::string, std::function<double()>, std::less<>> mGauges;
  std::map<std::string, LatencySummary, std::less<>> mSummaries;
};

} // namespace laburnum
