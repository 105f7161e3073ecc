#ifndef TAMARACKHOIST_RUNTIME_RESULT_HPP
#define TAMARACKHOIST_RUNTIME_RESULT_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace tamarackhoist::runtime
{

/// A value or an error. Accessing the one that is absent terminates the
/// process, also in release builds.
template <typename Value, typename Error>
using result =
    boost::outcome_v2::basic_result<Value, Error,
                                    boost::outcome_v2::policy::terminate>;

} // namespace tamarackhoist::runtime

#endif
