"""Files under the data folder; what is written lasts once it is synced."""
