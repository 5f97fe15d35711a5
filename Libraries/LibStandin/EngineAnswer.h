#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::standin {

/// What the engine stand-in answers to a prompt: a pure function, so that a
/// wrong, mixed, shortened or doubled answer is seen by comparing. Each token's
/// text depends on the prompt and on the token's position.
/// @param aMaxTokens Limit of the answer's length; 0 means 16. The answer is
///                   between half of it and all of it, by the prompt.
std::vector<std::string>
EngineAnswer(std::string_view aPrompt, std::uint32_t aMaxTokens);

/// @return the answer's tokens joined, as a caller receives it.
std::string
EngineAnswerText(std::string_view aPrompt, std::uint32_t aMaxTokens);

} // namespace pumiceturn::standin
