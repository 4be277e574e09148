package org.alderyard.proxy.view;

import org.alderyard.common.view.View;

/**
 * A view after a reply to a fetch, and what the reply was.
 *
 * @param view the view, which is the previous one if the reply contained nothing newer
 * @param snapshot whether the reply was a whole view
 * @param deltas the number of deltas in the reply
 * @param replyBytes the serialized size of the reply
 * @param fetchMillis the time from the request to the reply, which includes the wait for a change
 */
record FetchedView(View view, boolean snapshot, int deltas, int replyBytes, long fetchMillis) {}
