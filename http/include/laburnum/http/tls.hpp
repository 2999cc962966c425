#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/result.hpp"

#include <boost/asio/ssl/context.hpp>
#include <memory>

namespace laburnum::http {

/// Holds the server's certificate; a reload is used by later connections,
/// and a broken file leaves the present certificate in use.
/// Thread safety: loop thread.
class CertificateHolder
{
public:
  explicit CertificateHolder(contract::TlsSettings aSettings);

  /// Reads the files anew; fails with the reason. Pre: none.
  Result<bool> reload();

  /// The context for new connections; null without TLS. Pre: none.
  std::shared_ptr<boost::asio::ssl::context> context() const
  {
    return mContext;
  }

private:
  contract::TlsSettings mSettings;
  std::shared_ptr<boost::asio::ssl::context> mContext;
};

} // namespace laburnum::http
