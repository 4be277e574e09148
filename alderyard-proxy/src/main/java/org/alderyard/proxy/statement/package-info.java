/**
 * The execution of single statements, from a caller's request to the answer of a backend server.
 */
package org.alderyard.proxy.statement;
