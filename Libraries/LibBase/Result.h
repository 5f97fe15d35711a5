#pragma once

#include "LibBase/ResultCode.h"

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace pumiceturn::base {

/// What went wrong: a numbered code, and a sentence for a person.
struct Failure
{
  ResultCode code_ = ResultCode::Internal;
  std::string detail_;

  bool operator==(const Failure&) const = default;
};

/// A value, or a Failure that a Capture() further up receives. Check it at
/// once: BOOST_LEAF_AUTO(value, Call()) or BOOST_LEAF_CHECK(Call()).
template<typename T>
using Result = boost::leaf::result<T>;

/// A value or a Failure as plain data, for storing and for decision code.
template<typename T>
using Outcome = std::variant<T, Failure>;

/// Makes the error return of a fallible function.
/// @param aCode   Numbered result.
/// @param aDetail What a person needs to know beyond the code.
inline boost::leaf::error_id
Fail(ResultCode aCode, std::string aDetail = {})
{
  return boost::leaf::new_error(Failure{ aCode, std::move(aDetail) });
}

namespace detail {

template<typename T>
struct ValueOf;

template<typename T>
struct ValueOf<Result<T>>
{
  using Type = T;
};

} // namespace detail

/// Runs a function that returns Result<T> and gives its value or failure as
/// data. LEAF keeps error objects only while a handler is in scope, so each
/// thread's outermost call of fallible code goes through here.
/// @return std::monostate in the place of void.
template<typename Function>
auto
Capture(Function&& aFunction)
{
  using Returned =
    typename detail::ValueOf<std::invoke_result_t<Function>>::Type;
  using Value =
    std::conditional_t<std::is_void_v<Returned>, std::monostate, Returned>;
  return boost::leaf::try_handle_all(
    [&]() -> Result<Outcome<Value>> {
      if constexpr (std::is_void_v<Returned>) {
        BOOST_LEAF_CHECK(aFunction());
        return Outcome<Value>{ Value{} };
      } else {
        BOOST_LEAF_AUTO(value, aFunction());
        return Outcome<Value>{ std::in_place_index<0>, std::move(value) };
      }
    },
    [](const Failure& aFailure) { return Outcome<Value>{ aFailure }; },
    [] {
      return Outcome<Value>{ Failure{ ResultCode::Internal,
                                      "unidentified error" } };
    });
}

/// Turns stored data back into a Result.
template<typename T>
Result<T>
Release(Outcome<T> aOutcome)
{
  if (auto* failure = std::get_if<Failure>(&aOutcome)) {
    return Fail(failure->code_, std::move(failure->detail_));
  }
  return std::get<0>(std::move(aOutcome));
}

} // namespace pumiceturn::base
