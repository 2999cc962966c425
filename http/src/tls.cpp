#include "laburnum/http/tls.hpp"

namespace laburnum::http {

namespace ssl = boost::asio::ssl;

CertificateHolder::CertificateHolder(contract::TlsSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

Result<bool>
CertificateHolder::reload()
{
  if (mSettings.certificate.empty()) {
    return true;
  }
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  context->set_options(ssl::context::default_workarounds |
                       ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  boost::system::error_code error;
  context->use_certificate_chain_file(mSettings.certificate, error);
  if (error) {
    return Failure{ .error = Error::InvalidSettings,
                    .detail = "tls.certificate: " + mSettings.certificate +
                              ": " + error.message() };
  }
  context->use_private_key_file(mSettings.key, ssl::context::pem, error);
  if (error) {
    return Failure{ .error = Error::InvalidSettings,
                    .detail =
                      "tls.key: " + mSettings.key + ": " + error.message() };
  }
  mContext = std::move(context);
  return true;
}

} // namespace laburnum::http
