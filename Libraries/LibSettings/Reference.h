#pragma once

#include <string>
#include <string_view>

namespace pumiceturn::settings {

/// Turns a schema file's messages, enums and comments into a page section.
/// Understands the form that the project's schemas have: one field or value a
/// line, its comment behind it and on the lines below.
/// @param aTitle  Heading of the section.
/// @param aSchema Content of the .proto file.
/// @return Markdown: the file's first comment, then a table for each message
/// and enum.
std::string
WriteReference(std::string_view aTitle, std::string_view aSchema);

} // namespace pumiceturn::settings
