// The entry point that all Boost.Test programs share; BOOST_TEST_MODULE comes from CMake.
#include <boost/test/unit_test.hpp>
