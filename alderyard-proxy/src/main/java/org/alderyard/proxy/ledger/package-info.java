/** The request ledger, which runs a resent request at most once. */
package org.alderyard.proxy.ledger;
