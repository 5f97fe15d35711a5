# Build rules shared by every package of the workspace.

add_library(pumiceturn_options INTERFACE)
target_compile_options(pumiceturn_options INTERFACE -Wall -Wextra -Wshadow -Werror)
target_include_directories(pumiceturn_options INTERFACE ${CMAKE_SOURCE_DIR}/Libraries)

# cpp-httplib as the system has it: a compiled library, whose classes change
# their layout with these macros, so every user must get them from here.
if(NOT PUMICETURN_GATEWAY_ONLY)
  find_package(PkgConfig REQUIRED)
  pkg_check_modules(httplib REQUIRED IMPORTED_TARGET GLOBAL cpp-httplib)
  add_library(pumiceturn_httplib INTERFACE)
  target_link_libraries(pumiceturn_httplib INTERFACE PkgConfig::httplib OpenSSL::SSL Threads::Threads)
endif()

# Adds each folder below aParent that has a CMakeLists.txt.
function(pumiceturn_add_folders aParent)
  file(GLOB folders CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${aParent}/*/CMakeLists.txt)
  foreach(file ${folders})
    cmake_path(GET file PARENT_PATH folder)
    add_subdirectory(${folder})
  endforeach()
endfunction()

# pumiceturn_library(LibX DEPENDS ...): every .cpp of this folder.
function(pumiceturn_library aName)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "DEPENDS")
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_library(${aName} STATIC ${sources})
  target_link_libraries(${aName} PUBLIC pumiceturn_options ${ARG_DEPENDS})
endfunction()

# pumiceturn_binary(name DEPENDS ...): every .cpp of this folder.
function(pumiceturn_binary aName)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "DEPENDS")
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${aName} ${sources})
  target_link_libraries(${aName} PRIVATE pumiceturn_options ${ARG_DEPENDS})
endfunction()

# Catch2's main, compiled once for all test programs.
function(pumiceturn_tests aName)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "DEPENDS")
  if(NOT TARGET pumiceturn_test_main)
    add_library(pumiceturn_test_main STATIC ${CMAKE_SOURCE_DIR}/Tests/Main.cpp)
    target_link_libraries(pumiceturn_test_main PUBLIC pumiceturn_options)
    target_include_directories(pumiceturn_test_main PUBLIC ${CMAKE_SOURCE_DIR})
    target_compile_definitions(pumiceturn_test_main PUBLIC
      PUMICETURN_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}")
  endif()
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${aName} ${sources})
  target_link_libraries(${aName} PRIVATE pumiceturn_test_main ${ARG_DEPENDS})
  add_test(NAME ${aName} COMMAND ${aName})
  set_tests_properties(${aName} PROPERTIES TIMEOUT 300)
endfunction()
