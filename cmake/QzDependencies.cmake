# Third-party libraries, each wrapped as an imported target qzdep::<name>.
# All of them come from Debian; .ci/packages.txt lists the packages.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(LIBEVENT_PTHREADS REQUIRED IMPORTED_TARGET libevent_pthreads)
pkg_check_modules(LIBEVENT_OPENSSL REQUIRED IMPORTED_TARGET libevent_openssl)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_path(EVHTP_INCLUDE_DIR evhtp/evhtp.h REQUIRED)
find_library(EVHTP_LIBRARY evhtp REQUIRED)
find_path(DOCOPT_INCLUDE_DIR docopt/docopt.h REQUIRED)
find_library(DOCOPT_LIBRARY docopt REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(nlohmann_json REQUIRED)

add_library(qzdep_evhtp INTERFACE)
target_include_directories(qzdep_evhtp SYSTEM INTERFACE ${EVHTP_INCLUDE_DIR})
target_link_libraries(qzdep_evhtp INTERFACE
    ${EVHTP_LIBRARY} PkgConfig::LIBEVENT PkgConfig::LIBEVENT_PTHREADS
    PkgConfig::LIBEVENT_OPENSSL OpenSSL::SSL OpenSSL::Crypto Threads::Threads)

add_library(qzdep_docopt INTERFACE)
target_include_directories(qzdep_docopt SYSTEM INTERFACE ${DOCOPT_INCLUDE_DIR})
target_link_libraries(qzdep_docopt INTERFACE ${DOCOPT_LIBRARY})
