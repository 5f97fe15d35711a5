#include "LibSettings/Reference.h"

#include <algorithm>
#include <cctype>
#include <regex>
#include <utility>
#include <vector>

namespace pumiceturn::settings {

namespace {

/// A field of a message, or a value of an enum.
struct Row
{
  std::string name_;
  std::string type_;
  std::string comment_;
};

/// A message or an enum.
struct Block
{
  std::string name_;
  std::string comment_;
  bool isEnum_ = false;
  std::vector<Row> rows_;
};

struct Schema
{
  std::string comment_;
  std::vector<Block> blocks_;
};

void
AppendWords(std::string& aText, const std::string& aMore)
{
  if (!aText.empty() && !aMore.empty()) {
    aText += ' ';
  }
  aText += aMore;
}

class SchemaReader
{
public:
  void ReadLine(const std::string& aLine)
  {
    static const std::regex kComment(R"(\s*// ?(.*))");
    static const std::regex kBlock(R"((message|enum) (\w+) \{.*)");
    static const std::regex kField(
      R"(\s+(repeated )?([\w.]+) (\w+) = \d+;(?:\s*// ?(.*))?)");
    static const std::regex kValue(R"(\s+(\w+) = \d+;(?:\s*// ?(.*))?)");
    std::smatch found;
    if (std::regex_match(aLine, found, kComment)) {
      OnComment(found[1]);
    } else if (std::regex_match(aLine, found, kBlock)) {
      schema_.blocks_.push_back(
        { found[2], std::exchange(pending_, {}), found[1] == "enum", {} });
      isInBlock_ = true;
    } else if (std::regex_match(aLine, found, kField)) {
      const std::string list = found[1].matched ? "list of " : "";
      schema_.blocks_.back().rows_.push_back(
        { found[3], list + found[2].str(), found[4] });
    } else if (std::regex_match(aLine, found, kValue)) {
      schema_.blocks_.back().rows_.push_back({ found[1], "", found[2] });
    } else if (aLine.starts_with("}")) {
      isInBlock_ = false;
    } else if (aLine.starts_with("syntax")) {
      schema_.comment_ = std::exchange(pending_, {});
    }
  }

  Schema Take() { return std::move(schema_); }

private:
  /// A comment inside a block goes on with that of the row above.
  void OnComment(const std::string& aText)
  {
    if (isInBlock_ && !schema_.blocks_.back().rows_.empty()) {
      AppendWords(schema_.blocks_.back().rows_.back().comment_, aText);
    } else {
      AppendWords(pending_, aText);
    }
  }

  Schema schema_;
  std::string pending_;
  bool isInBlock_ = false;
};

/// @return the value as YAML has it: without the prefix that the first one
/// shows, in lower case, with '-' between words.
std::string
ValueName(const std::string& aName, const std::string& aFirst)
{
  constexpr std::string_view kUnspecified = "UNSPECIFIED";
  std::string name = aName.substr(aFirst.size() - kUnspecified.size());
  for (char& letter : name) {
    letter =
      letter == '_'
        ? '-'
        : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

std::string
WriteEnum(const Block& aBlock)
{
  std::string text = "| value | meaning |\n|---|---|\n";
  for (std::size_t index = 1; index < aBlock.rows_.size(); ++index) {
    const Row& row = aBlock.rows_[index];
    text += "| `" + ValueName(row.name_, aBlock.rows_.front().name_) + "` | " +
            row.comment_ + " |\n";
  }
  return text;
}

std::string
WriteMessage(const Block& aBlock)
{
  std::string text = "| key | type | meaning |\n|---|---|---|\n";
  for (const Row& row : aBlock.rows_) {
    text +=
      "| `" + row.name_ + "` | " + row.type_ + " | " + row.comment_ + " |\n";
  }
  return text;
}

} // namespace

std::string
WriteReference(std::string_view aTitle, std::string_view aSchema)
{
  SchemaReader reader;
  while (!aSchema.empty()) {
    const std::size_t end = std::min(aSchema.find('\n'), aSchema.size());
    const std::string line(aSchema.substr(0, end));
    aSchema.remove_prefix(std::min(end + 1, aSchema.size()));
    reader.ReadLine(line);
  }
  const Schema schema = reader.Take();
  std::string text =
    "## " + std::string(aTitle) + "\n\n" + schema.comment_ + "\n";
  for (const Block& block : schema.blocks_) {
    text += "\n### " + block.name_ + "\n\n";
    text += block.comment_.empty() ? "" : block.comment_ + "\n\n";
    text += block.isEnum_ ? WriteEnum(block) : WriteMessage(block);
  }
  return text;
}

} // namespace pumiceturn::settings
