# qz_add_package(NAME SOURCES... DEPENDS... THIRD_PARTY...)
#
# Declares one library package of the workspace: a static library target NAME, its
# alias quetzaldale::NAME, its installed headers and an exported CMake package
# NAMEConfig.cmake. DEPENDS are other packages of the workspace, THIRD_PARTY the
# link targets of libraries from outside, THIRD_PARTY_FINDS the find_dependency
# lines that an embedding project needs.
include(CMakePackageConfigHelpers)

function(qz_add_package NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;THIRD_PARTY;THIRD_PARTY_FINDS" ${ARGN})
    add_library(${NAME} STATIC ${ARG_SOURCES})
    add_library(quetzaldale::${NAME} ALIAS ${NAME})
    target_compile_features(${NAME} PUBLIC cxx_std_17)
    target_include_directories(${NAME} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/packages>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/quetzaldale>)
    foreach(dep IN LISTS ARG_DEPENDS)
        target_link_libraries(${NAME} PUBLIC quetzaldale::${dep})
    endforeach()
    target_link_libraries(${NAME} PUBLIC ${ARG_THIRD_PARTY})
    qz_set_warnings(${NAME})

    install(TARGETS ${NAME} EXPORT ${NAME}Targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/quetzaldale/${NAME}
        FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE)
    set(config_dir ${CMAKE_INSTALL_LIBDIR}/cmake/${NAME})
    install(EXPORT ${NAME}Targets NAMESPACE quetzaldale:: DESTINATION ${config_dir})
    set(config "include(CMakeFindDependencyMacro)\n")
    foreach(find IN LISTS ARG_THIRD_PARTY_FINDS)
        string(APPEND config "${find}\n")
    endforeach()
    foreach(dep IN LISTS ARG_DEPENDS)
        string(APPEND config "find_dependency(${dep})\n")
    endforeach()
    string(APPEND config "include(\${CMAKE_CURRENT_LIST_DIR}/${NAME}Targets.cmake)\n")
    file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/${NAME}Config.cmake "${config}")
    install(FILES ${CMAKE_CURRENT_BINARY_DIR}/${NAME}Config.cmake DESTINATION ${config_dir})
endfunction()

# qz_set_warnings(TARGET): the warnings, all of them errors, and the sanitizers if asked for.
function(qz_set_warnings TARGET)
    target_compile_options(${TARGET} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    if(QZ_SANITIZE)
        target_compile_options(${TARGET} PRIVATE -fsanitize=address,undefined
            -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
        target_link_options(${TARGET} PUBLIC -fsanitize=address,undefined)
    endif()
endfunction()

# qz_add_test(NAME SOURCES... DEPENDS... [TIMEOUT seconds]): one Boost.Test program run by ctest.
function(qz_add_test NAME)
    if(NOT BUILD_TESTING)
        return()
    endif()
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    add_executable(${NAME} ${CMAKE_SOURCE_DIR}/cmake/testmain.cpp ${ARG_SOURCES})
    target_compile_definitions(${NAME} PRIVATE BOOST_TEST_DYN_LINK)
    set_source_files_properties(${CMAKE_SOURCE_DIR}/cmake/testmain.cpp PROPERTIES
        COMPILE_DEFINITIONS BOOST_TEST_MODULE=quetzaldale)
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} boost_unit_test_framework)
    qz_set_warnings(${NAME})
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
