/** The control hosts' side of the inner protocol. */
package org.alderyard.control.service;
