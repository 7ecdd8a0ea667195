// HMAC-SHA-256 with OpenSSL.
#include "handshake.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace PeerLink {

static std::string toHex(const unsigned char *data, std::size_t n)
{
    std::string hex;
    for (std::size_t i = 0; i < n; ++i)
        hex += fmt::format("{:02x}", data[i]);
    return hex;
}

std::string makeNonce()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes.data(), bytes.size());
}

std::string makeProof(std::string_view key, HandshakeRole role, const Wire::Hello &dialer,
                      const Wire::Hello &acceptor)
{
    const std::string text = fmt::format(
        "{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}", role == HandshakeRole::Dialer ? "dialer" : "acceptor",
        dialer.daemon, dialer.failureDomain, dialer.incarnation, dialer.nonce, acceptor.daemon,
        acceptor.failureDomain, acceptor.incarnation, acceptor.nonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &n);
    return toHex(digest.data(), n);
}

bool isSameProof(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace PeerLink
