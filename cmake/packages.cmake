# Adds the static library of one package: every source under src/, with its
# public headers under include/.
function(tamarackhoist_package name)
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/*.cc)
    add_library(tamarackhoist_${name} STATIC ${sources})
    target_include_directories(tamarackhoist_${name} PUBLIC include)
    target_compile_options(tamarackhoist_${name} PRIVATE -Wall -Wextra)
    target_link_libraries(tamarackhoist_${name} PUBLIC ${ARGN}
                          Threads::Threads)
endfunction()

# Adds one Criterion test binary and registers it with ctest.
function(tamarackhoist_test name)
    if(NOT TAMARACKHOIST_TESTS)
        return()
    endif()
    add_executable(${name} tests/${name}.cpp)
    target_link_libraries(${name} PRIVATE ${ARGN} ${CRITERION_LIBRARY}
                          Threads::Threads)
    add_test(NAME ${name} COMMAND ${name} -j1)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
        ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100")
endfunction()
