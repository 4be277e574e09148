/** Encryption of stored documents under keys that are derived from a shared secret. */
package org.alderyard.common.seal;
