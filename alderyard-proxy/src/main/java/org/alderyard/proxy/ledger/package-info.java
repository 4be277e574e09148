/** The request ledger: a request that is sent again runs at most once. */
package org.alderyard.proxy.ledger;
