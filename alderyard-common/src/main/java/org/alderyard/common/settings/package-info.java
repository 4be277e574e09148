/**
 * Checked settings: a specification of every setting, apart from the values that a file gives.
 *
 * <p>{@link org.alderyard.common.settings.SettingsSpec} says what is accepted, {@link
 * org.alderyard.common.settings.SettingsReader} reads an INI file against it, and {@link
 * org.alderyard.common.settings.Settings} holds the result.
 */
package org.alderyard.common.settings;
