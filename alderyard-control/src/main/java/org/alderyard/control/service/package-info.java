/** Control host services of the inner protocol: tickets, configurations, leases and views. */
package org.alderyard.control.service;
