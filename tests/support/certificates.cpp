#include "support/certificates.hpp"

#include <fstream>
#include <stdexcept>
#include <utility>

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace tarragonquay::test_support
{
namespace
{

template <auto Release>
struct releaser
{
    template <class T>
    void operator()(T* object) const
    {
        Release(object);
    }
};

using key_ptr = std::unique_ptr<EVP_PKEY, releaser<EVP_PKEY_free>>;
using certificate_ptr = std::unique_ptr<X509, releaser<X509_free>>;
using bio_ptr = std::unique_ptr<BIO, releaser<BIO_free_all>>;
using extension_ptr =
    std::unique_ptr<X509_EXTENSION, releaser<X509_EXTENSION_free>>;

void check(bool done, const char* step)
{
    if (!done)
        throw std::runtime_error(std::string("OpenSSL failed to ") + step);
}

key_ptr new_key()
{
    key_ptr key(EVP_EC_gen("P-256"));
    check(key != nullptr, "make a key");
    return key;
}

void add_extension(X509& to, X509& issuer, int kind, const std::string& value)
{
    X509V3_CTX context{};
    X509V3_set_ctx(&context, &issuer, &to, nullptr, nullptr, 0);
    const extension_ptr extension(
        X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str()));
    check(extension != nullptr, "make an extension");
    check(X509_add_ext(&to, extension.get(), -1) == 1, "add an extension");
}

certificate_ptr new_certificate(
    EVP_PKEY& key, const std::string& name, const certificate_terms& terms)
{
    static long serial = 0;
    constexpr long version_3 = 2;
    certificate_ptr made(X509_new());
    check(made != nullptr, "make a certificate");
    X509_set_version(made.get(), version_3);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), terms.from.count());
    X509_gmtime_adj(X509_getm_notAfter(made.get()), terms.until.count());
    X509_set_pubkey(made.get(), &key);
    check(
        X509_NAME_add_entry_by_txt(X509_get_subject_name(made.get()), "CN",
            MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name.c_str()),
            -1, -1, 0) == 1,
        "name a certificate");
    return made;
}

void sign(X509& certificate, X509& issuer, EVP_PKEY& issuer_key)
{
    X509_set_issuer_name(&certificate, X509_get_subject_name(&issuer));
    check(X509_sign(&certificate, &issuer_key, EVP_sha256()) > 0,
        "sign a certificate");
}

template <class Write>
void write_pem(const std::string& path, Write write)
{
    const bio_ptr file(BIO_new_file(path.c_str(), "w"));
    check(file && write(file.get()) == 1, "write a PEM file");
}

void write_certificate(const std::string& path, X509& certificate)
{
    write_pem(path,
        [&](BIO* file) { return PEM_write_bio_X509(file, &certificate); });
}

} // namespace

struct certificate_authority::implementation
{
    key_ptr key;
    certificate_ptr certificate;
};

certificate_authority::certificate_authority(
    std::string folder, const std::string& name)
    : folder_(std::move(folder)),
      certificate_file_(folder_ + "/" + name + ".pem"),
      implementation_(std::make_unique<implementation>())
{
    auto& key = implementation_->key = new_key();
    auto& made = implementation_->certificate = new_certificate(*key, name, {});
    add_extension(*made, *made, NID_basic_constraints, "critical,CA:TRUE");
    add_extension(*made, *made, NID_key_usage, "critical,keyCertSign");
    sign(*made, *made, *key);
    write_certificate(certificate_file_, *made);
}

certificate_authority::~certificate_authority() = default;

certificate_files certificate_authority::issue(
    const std::string& name, const certificate_terms& terms) const
{
    const auto key = new_key();
    const auto made = new_certificate(*key, name, terms);
    auto& issuer = *implementation_->certificate;
    add_extension(*made, issuer, NID_subject_alt_name, "IP:" + terms.ip);
    sign(*made, issuer, *implementation_->key);
    certificate_files files{
        folder_ + "/" + name + ".pem", folder_ + "/" + name + ".key"};
    write_certificate(files.certificate, *made);
    write_pem(files.key,
        [&](BIO* file)
        {
            return PEM_write_bio_PrivateKey(
                file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    return files;
}

} // namespace tarragonquay::test_support
