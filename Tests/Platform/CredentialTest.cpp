#include "platform/RequestCodec.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <variant>

namespace pumiceturn::adapter {

/// Reads credentials from the Authorization field.
class CredentialFixture
{
protected:
  [[nodiscard]] fleet::Credential Read(const std::string& aValue) const
  {
    httpstream::Request request;
    request.set(boost::beast::http::field::authorization, aValue);
    return codec_.ReadCredential(request);
  }

  [[nodiscard]] bool IsKey(const std::string& aValue,
                           std::string_view aKey) const
  {
    const fleet::Credential credential = Read(aValue);
    const auto* digest = std::get_if<base::TokenDigest>(&credential);
    return digest != nullptr && *digest == base::DigestToken(aKey);
  }

  [[nodiscard]] bool IsMalformed(const std::string& aValue) const
  {
    return std::holds_alternative<fleet::MalformedCredential>(Read(aValue));
  }

  RequestCodec codec_;
};

TEST_CASE_METHOD(CredentialFixture, "Credential_WellFormed_IsRead")
{
  CHECK(IsKey("Bearer k1", "k1"));
  CHECK(IsKey("bEARER   k1", "k1"));
  CHECK(std::holds_alternative<fleet::NoCredential>(
    codec_.ReadCredential(httpstream::Request())));
}

// Guards against accepting a malformed Authorization field.
TEST_CASE_METHOD(CredentialFixture, "Credential_Malformed_IsNoKey")
{
  for (const char* value : { "",
                             "Bearer",
                             "Bearer ",
                             "Bearerk1",
                             "Basic k1",
                             "k1",
                             "Bearer k1 k2",
                             "Bearer k1,k2",
                             "Bearer k1, Bearer k2",
                             "Bearer k1\tk2" }) {
    CHECK(IsMalformed(value));
  }
}

// Guards against crashes on arbitrary field values.
TEST_CASE_METHOD(CredentialFixture, "Credential_RandomText_DoesNotCrash")
{
  std::mt19937 random{ 3 };
  const std::string letters = "Bearer bearer \t,;=k1\x7f";
  for (int round = 0; round < 20000; ++round) {
    std::string value;
    for (auto length = random() % 24; length > 0; --length) {
      value.push_back(letters[random() % letters.size()]);
    }
    (void)Read(value);
  }
  SUCCEED();
}

} // namespace pumiceturn::adapter
