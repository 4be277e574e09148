/** Stand-in backend server and small fakes. */
package org.alderyard.testkit;
